package org.teaseltrail.core.serving;

import java.util.List;
import java.util.Map;
import org.teaseltrail.core.backpressure.RateLimitObservation;
import org.teaseltrail.core.id.Incarnation;
import org.teaseltrail.core.id.UpstreamId;
import org.teaseltrail.core.id.VmId;
import org.teaseltrail.core.quarantine.Fingerprint;
import org.teaseltrail.core.quarantine.Loss;
import org.teaseltrail.core.quota.QuotaReport;
import org.teaseltrail.core.rollout.RolloutReport;

/** Is a message from an entry VM that places requests itself to a control member. */
public sealed interface ServingMessage {

  /**
   * Returns who sends it.
   *
   * @return the entry VM
   */
  VmId vm();

  /**
   * Renews the VM's session and tells what goes on there.
   *
   * @param vm the VM
   * @param incarnation which life of its process
   * @param sequence grows with each; the answer carries it back
   * @param planVersion version of the plan in force there
   * @param registryRevision revision of the registrations in force there
   * @param quarantineRevision revision of this leadership's held requests in force there, 0 for
   *     none
   * @param rolloutRevision revision of the rollouts in force there
   * @param inFlight requests that it has at each upstream, those without any left out
   * @param quotas what customers use of their quotas there
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
      inFlight = Map.copyOf(inFlight);
      quotas = List.copyOf(quotas);
    }
  }

  /**
   * Tells under which requests the VM lately saw upstreams' connections end, and which of the
   * suspects it lately saw served whole; the newest replaces those before.
   *
   * @param vm the VM
   * @param losses the ended connections
   * @param served suspects that got a whole answer
   */
  record Losses(VmId vm, List<Loss> losses, List<Fingerprint> served) implements ServingMessage {
    /** Copies the lists. */
    public Losses {
      losses = List.copyOf(losses);
      served = List.copyOf(served);
    }
  }

  /**
   * Tells what the VM has done since the orders of the rollouts that run, and asks for requests
   * that it may send to the ordered versions.
   *
   * @param vm the VM
   * @param incarnation which life of its process
   * @param sequence grows with each; the answer carries it back
   * @param uses what it has done, for each rollout
   */
  record Rollouts(VmId vm, Incarnation incarnation, long sequence, List<RolloutReport> uses)
      implements ServingMessage {
    /** Copies the list. */
    public Rollouts {
      uses = List.copyOf(uses);
    }
  }

  /**
   * Tells which limits upstreams lately named to the VM, and asks for permits to send to upstreams
   * with limits.
   *
   * @param vm the VM
   * @param sequence grows with each; the answer carries it back
   * @param sightings what the upstreams said; now and then all that is known
   * @param wanted what the VM could send, for each service
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
   * Tells what waits at the VM, and what it has at each upstream; the newest replaces those before.
   *
   * @param vm the VM
   * @param grantsSeen sequence of the newest grant of this leader that the VM has seen, 0 for none
   * @param inFlight requests that it has at each upstream, those without any left out
   * @param unread those of them whose prompt may not be read yet, as there is no first event
   * @param held the same requests by the kinds that hold the places
   * @param lines what waits for each service of engines, those where nothing waits left out
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
      inFlight = Map.copyOf(inFlight);
      unread = Map.copyOf(unread);
      held = List.copyOf(held);
      lines = List.copyOf(lines);
    }
  }
}
