package org.teaseltrail.core.serving;

import java.util.List;
import java.util.Map;
import java.util.Optional;
import org.teaseltrail.core.backpressure.RateLimitObservation;
import org.teaseltrail.core.collection.OrderedCopies;
import org.teaseltrail.core.id.DataCenterId;
import org.teaseltrail.core.id.Incarnation;
import org.teaseltrail.core.id.ServiceId;
import org.teaseltrail.core.id.UpstreamId;
import org.teaseltrail.core.id.VmId;
import org.teaseltrail.core.quarantine.Fingerprint;
import org.teaseltrail.core.quarantine.Loss;
import org.teaseltrail.core.quarantine.SuspectCopies;
import org.teaseltrail.core.quota.QuotaReport;
import org.teaseltrail.core.rollout.RolloutReport;
import org.teaseltrail.core.stream.BegunStream;
import org.teaseltrail.core.stream.OriginQuestion;
import org.teaseltrail.core.upstream.SocketAddress;

/** Message to a control member from an entry VM that selects upstreams locally. */
public sealed interface ServingMessage {

  /**
   * Returns the sender.
   *
   * @return the entry VM
   */
  VmId vm();

  /**
   * Returns whether the message makes an earlier one of its kind from the same VM obsolete.
   *
   * @return false if each message must be handled
   */
  default boolean replacesEarlier() {
    return true;
  }

  /**
   * Renews the VM's session and reports the VM's state.
   *
   * @param vm the VM
   * @param incarnation incarnation of the VM's process
   * @param sequence increases with each sync; the reply returns it
   * @param planVersion version of the plan that the VM applies
   * @param registryRevision revision of the upstream registrations that the VM applies
   * @param quarantineRevision revision of this leadership's held requests that the VM applies, 0
   *     for none
   * @param rolloutRevision revision of the rollouts that the VM applies
   * @param inFlight number of the VM's requests in flight at each upstream; upstreams without any
   *     are omitted
   * @param quotas the customers' quota usage at the VM
   */
  record Sync(
      VmId vm,
      Incarnation incarnation,
      long sequence,
      long planVersion,
      long registryRevision,
      long quarantineRevision,
      long rolloutRevision,
      Map<UpstreamId, Integer> inFlight,
      List<QuotaReport> quotas)
      implements ServingMessage {
    /** Copies the map and the list. */
    public Sync {
      inFlight = OrderedCopies.mapOf(inFlight);
      quotas = List.copyOf(quotas);
    }
  }

  /**
   * Reports which requests were in flight on upstream connections that ended recently, and which
   * suspect requests were recently answered completely. The newest report replaces earlier ones.
   *
   * @param vm the VM
   * @param losses the ended connections
   * @param served suspect requests that received a complete answer
   * @param copies the VM's copies of undecided requests; empty from an older VM
   */
  record Losses(
      VmId vm, List<Loss> losses, List<Fingerprint> served, Optional<List<SuspectCopies>> copies)
      implements ServingMessage {
    /** Copies the lists. */
    public Losses {
      losses = List.copyOf(losses);
      served = List.copyOf(served);
      copies = copies.map(List::copyOf);
    }

    /**
     * Creates a report of a VM that has no undecided request.
     *
     * @param vm the VM
     * @param losses the ended connections
     * @param served suspect requests that received a complete answer
     */
    public Losses(VmId vm, List<Loss> losses, List<Fingerprint> served) {
      this(vm, losses, served, Optional.empty());
    }
  }

  /**
   * Reports what the VM has done since the orders of the active rollouts, and requests an allowance
   * of requests to send to the target versions.
   *
   * @param vm the VM
   * @param incarnation incarnation of the VM's process
   * @param sequence increases with each message; the reply returns it
   * @param uses the VM's report for each rollout
   */
  record Rollouts(VmId vm, Incarnation incarnation, long sequence, List<RolloutReport> uses)
      implements ServingMessage {
    /** Copies the list. */
    public Rollouts {
      uses = List.copyOf(uses);
    }
  }

  /**
   * Reports the rate limits that upstreams recently announced to the VM, and requests permits to
   * send to rate-limited upstreams.
   *
   * @param vm the VM
   * @param sequence increases with each message; the reply returns it
   * @param sightings recently observed limits; periodically all known ones
   * @param wanted the VM's demand for permits, for each service
   */
  record Limits(
      VmId vm, long sequence, List<RateLimitObservation> sightings, List<PermitDemand> wanted)
      implements ServingMessage {
    /** Copies the lists. */
    public Limits {
      sightings = List.copyOf(sightings);
      wanted = List.copyOf(wanted);
    }
  }

  /**
   * Asks when callers whose requests can't be served now may come back.
   *
   * @param vm the VM
   * @param wanted the refused requests
   */
  record Bookings(VmId vm, List<BookingRequest> wanted) implements ServingMessage {
    /** Copies the list. */
    public Bookings {
      wanted = List.copyOf(wanted);
    }
  }

  /**
   * Reports how fast upstreams worked according to their newest responses to this VM.
   *
   * @param vm the VM
   * @param conditions the conditions that the VM heard since its last report
   */
  record Conditions(VmId vm, List<UpstreamCondition> conditions) implements ServingMessage {
    /** Copies the list. */
    public Conditions {
      conditions = List.copyOf(conditions);
    }
  }

  /**
   * Announces where the VM accepts relayed requests, and which services it can't reach.
   *
   * @param vm the VM
   * @param incarnation incarnation of the VM's process
   * @param sequence increases with each announcement; the reply returns it
   * @param relayAddress where the VM accepts relayed requests
   * @param dataCenter the VM's data centre, if it is known
   * @param lost services of which the VM reaches no upstream
   */
  record Paths(
      VmId vm,
      Incarnation incarnation,
      long sequence,
      SocketAddress relayAddress,
      Optional<DataCenterId> dataCenter,
      List<ServiceId> lost)
      implements ServingMessage {
    /** Copies the list. */
    public Paths {
      lost = List.copyOf(lost);
    }
  }

  /**
   * Reports services whose upstreams announced, in responses to the VM, that they tolerate few
   * rejections, or no longer do.
   *
   * @param vm the VM
   * @param limited services for which a response with a limit arrived since the last report
   * @param lifted services for which responses no longer contain a limit
   */
  record RejectionLimits(VmId vm, List<ServiceId> limited, List<ServiceId> lifted)
      implements ServingMessage {
    /** Copies the lists. */
    public RejectionLimits {
      limited = List.copyOf(limited);
      lifted = List.copyOf(lifted);
    }
  }

  /**
   * Tells which version began streams, in case that their callers take them up at other VMs.
   *
   * @param vm the VM
   * @param streams the streams
   */
  record StreamsBegun(VmId vm, List<BegunStream> streams) implements ServingMessage {
    /** Copies the list. */
    public StreamsBegun {
      streams = List.copyOf(streams);
    }

    @Override
    public boolean replacesEarlier() {
      return false;
    }
  }

  /**
   * Asks which version began streams that callers take up.
   *
   * @param vm the VM
   * @param questions the questions, to each of which the member answers
   */
  record OriginQuery(VmId vm, List<OriginQuestion> questions) implements ServingMessage {
    /** Copies the list. */
    public OriginQuery {
      questions = List.copyOf(questions);
    }

    @Override
    public boolean replacesEarlier() {
      return false;
    }
  }

  /**
   * Reports the VM's queues and its requests in flight at each upstream. The newest report replaces
   * earlier ones.
   *
   * @param vm the VM
   * @param grantsSeen sequence of the newest grant of this leader that the VM has received, 0 for
   *     none
   * @param inFlight number of the VM's requests in flight at each upstream; upstreams without any
   *     are omitted
   * @param unread how many of them have had no first event, so that their prompts may still be in
   *     processing
   * @param held the same requests, by the service and route rank that occupy the slots
   * @param lines the queue for each service of engines; empty queues are omitted
   */
  record Lines(
      VmId vm,
      long grantsSeen,
      Map<UpstreamId, Integer> inFlight,
      Map<UpstreamId, Integer> unread,
      List<SlotUsage> held,
      List<QueueState> lines)
      implements ServingMessage {
    /** Copies the maps and the lists. */
    public Lines {
      inFlight = OrderedCopies.mapOf(inFlight);
      unread = OrderedCopies.mapOf(unread);
      held = List.copyOf(held);
      lines = List.copyOf(lines);
    }
  }
}
