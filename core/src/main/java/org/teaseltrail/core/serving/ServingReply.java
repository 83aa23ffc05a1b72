package org.teaseltrail.core.serving;

import java.util.List;
import java.util.Optional;
import org.teaseltrail.core.backpressure.RateLimitObservation;
import org.teaseltrail.core.backpressure.SendPermit;
import org.teaseltrail.core.id.CustomerId;
import org.teaseltrail.core.id.FencingNumber;
import org.teaseltrail.core.id.ServiceId;
import org.teaseltrail.core.id.UpstreamId;
import org.teaseltrail.core.id.VmId;
import org.teaseltrail.core.plan.ServingPlan;
import org.teaseltrail.core.quarantine.Fingerprint;
import org.teaseltrail.core.quota.QuotaGrant;
import org.teaseltrail.core.registry.Registration;
import org.teaseltrail.core.rollout.CanaryAllowance;
import org.teaseltrail.core.rollout.Rollout;
import org.teaseltrail.core.stream.OriginAnswer;

/** Message from a control member to an entry VM that selects upstreams locally. */
public sealed interface ServingReply {

  /**
   * Returns whether the message may be sent only while the sender's lease is valid.
   *
   * @return false if any member may send it
   */
  default boolean requiresLease() {
    return true;
  }

  /**
   * Rejects a sync because this member is not the leader.
   *
   * @param sequence the sync's sequence
   * @param leader the leader's VM, if known
   * @param members VMs of all members that this member knows
   */
  record NotLeading(long sequence, Optional<VmId> leader, List<VmId> members)
      implements ServingReply {
    /** Copies the list. */
    public NotLeading {
      members = List.copyOf(members);
    }

    @Override
    public boolean requiresLease() {
      return false;
    }
  }

  /**
   * Answers questions for the origins of streams.
   *
   * @param answers one answer to each question
   * @param proven whether an answer rests on the leader's knowledge that there was no other version
   */
  record OriginAnswers(List<OriginAnswer> answers, boolean proven) implements ServingReply {
    /** Copies the list. */
    public OriginAnswers {
      answers = List.copyOf(answers);
    }

    @Override
    public boolean requiresLease() {
      return proven;
    }
  }

  /**
   * Confirms a sync: this member is the leader, its lease is valid, and at the time of sending
   * nothing newer than the versions in this message had been acknowledged to any client.
   *
   * @param fencing fencing number of the leadership
   * @param sequence the sync's sequence
   * @param planVersion version of the accepted plan
   * @param registryRevision revision of the accepted registrations
   * @param vmCount number of entry VMs with a session
   * @param members VMs of all members
   * @param places slots in use by other VMs, and the VM's own share of the slots; {@link
   *     UpstreamSlots#NONE} while the leader doesn't know them
   * @param contended services whose slots the leader allocates
   * @param quotas the VM's allowances from customers' quotas
   * @param mixedServices services that have had several versions recently, the only ones whose
   *     streams VMs of older programs tell the members; empty from a leader of an older program,
   *     whose members know no streams
   */
  record Confirmed(
      FencingNumber fencing,
      long sequence,
      long planVersion,
      long registryRevision,
      int vmCount,
      List<VmId> members,
      UpstreamSlots places,
      List<ServiceId> contended,
      List<QuotaGrant> quotas,
      Optional<List<ServiceId>> mixedServices)
      implements ServingReply {
    /** Copies the lists. */
    public Confirmed {
      members = List.copyOf(members);
      contended = List.copyOf(contended);
      quotas = List.copyOf(quotas);
      mixedServices = mixedServices.map(List::copyOf);
    }

    /**
     * Creates a confirmation without services of several versions.
     *
     * @param fencing fencing number of the leadership
     * @param sequence the sync's sequence
     * @param planVersion version of the accepted plan
     * @param registryRevision revision of the accepted registrations
     * @param vmCount number of entry VMs with a session
     * @param members VMs of all members
     * @param places slots in use by other VMs, and the VM's own share of the slots
     * @param contended services whose slots the leader allocates
     * @param quotas the VM's allowances from customers' quotas
     */
    public Confirmed(
        FencingNumber fencing,
        long sequence,
        long planVersion,
        long registryRevision,
        int vmCount,
        List<VmId> members,
        UpstreamSlots places,
        List<ServiceId> contended,
        List<QuotaGrant> quotas) {
      this(
          fencing,
          sequence,
          planVersion,
          registryRevision,
          vmCount,
          members,
          places,
          contended,
          quotas,
          Optional.of(List.of()));
    }
  }

  /**
   * Lists the services whose slots the leader allocates because requests wait for them.
   *
   * @param fencing fencing number of the leadership
   * @param services all such services
   */
  record Contention(FencingNumber fencing, List<ServiceId> services) implements ServingReply {
    /** Copies the list. */
    public Contention {
      services = List.copyOf(services);
    }
  }

  /**
   * Grants the VM a slot for one of its waiting requests that can use it.
   *
   * @param fencing fencing number of the granting leadership
   * @param sequence increases with each grant to this VM
   * @param service the service whose requests may use the slot
   * @param upstream the upstream that has the slot
   * @param urgency urgency of the request for which the slot is granted; if no such request waits,
   *     any other may use the slot
   * @param customer customer of that request, if slots are shared between customers
   */
  record SlotGrant(
      FencingNumber fencing,
      long sequence,
      ServiceId service,
      UpstreamId upstream,
      Urgency urgency,
      Optional<CustomerId> customer)
      implements ServingReply {}

  /**
   * Tells how long requests that begin to wait now will wait for a slot. The newest forecast of a
   * service replaces earlier ones.
   *
   * @param fencing fencing number of the leadership
   * @param service the service
   * @param forMs validity of the forecast in milliseconds, counted from its arrival
   * @param waits expected wait by urgency and customer; others get a slot without a notable wait
   */
  record WaitForecast(
      FencingNumber fencing, ServiceId service, long forMs, List<ExpectedWait> waits)
      implements ServingReply {
    /** Copies the list. */
    public WaitForecast {
      waits = List.copyOf(waits);
    }
  }

  /**
   * Answers a VM that asked for the return of callers: when each may come back.
   *
   * @param fencing fencing number of the leadership
   * @param returns the booked returns; a caller that isn't listed got none
   */
  record BookingAnswer(FencingNumber fencing, List<BookedReturn> returns) implements ServingReply {
    /** Copies the list. */
    public BookingAnswer {
      returns = List.copyOf(returns);
    }
  }

  /**
   * Announces to all VMs the callers whose booked return is near, so that whichever VM they turn to
   * knows them.
   *
   * @param fencing fencing number of the leadership
   * @param returns the booked returns
   */
  record ReturnsDue(FencingNumber fencing, List<BookedReturn> returns) implements ServingReply {
    /** Copies the list. */
    public ReturnsDue {
      returns = List.copyOf(returns);
    }
  }

  /**
   * Carries how fast upstreams work at present, as any VM heard it last. An upstream that isn't
   * listed is as before.
   *
   * @param fencing fencing number of the leadership
   * @param conditions the newest condition of upstreams that has changed
   */
  record ConditionUpdate(FencingNumber fencing, List<UpstreamCondition> conditions)
      implements ServingReply {
    /** Copies the list. */
    public ConditionUpdate {
      conditions = List.copyOf(conditions);
    }
  }

  /**
   * Lists the services whose upstreams tolerate few rejections, as any VM heard; the leader grants
   * each of their slots.
   *
   * @param fencing fencing number of the leadership
   * @param services all such services
   */
  record RejectionLimits(FencingNumber fencing, List<ServiceId> services) implements ServingReply {
    /** Copies the list. */
    public RejectionLimits {
      services = List.copyOf(services);
    }
  }

  /**
   * Names the peers to which the VM may relay requests; it replaces the peers named before.
   *
   * @param fencing fencing number of the leadership
   * @param sequence sequence of the VM's newest announcement
   * @param peers the peers
   */
  record Peers(FencingNumber fencing, long sequence, List<PeerVm> peers) implements ServingReply {
    /** Copies the list. */
    public Peers {
      peers = List.copyOf(peers);
    }
  }

  /**
   * Carries the accepted plan.
   *
   * @param fencing fencing number of the confirming leadership
   * @param plan the plan
   */
  record PlanUpdate(FencingNumber fencing, ServingPlan plan) implements ServingReply {}

  /**
   * Carries the held requests, which must not be sent to any upstream, and the suspect requests.
   *
   * @param fencing fencing number of the leadership that holds the requests
   * @param revision increases with each change under this leadership, starting at 1
   * @param whole false while the leader may not have received reports from all VMs; until then,
   *     requests that an earlier update held remain held at the VM
   * @param held requests during which too many upstreams were lost
   * @param watched suspect requests whose complete answers the VM must report
   * @param undecided those of the held requests that may have been lost with the cause only; their
   *     callers wait for a decision instead of being refused; empty from an older leader
   */
  record QuarantineUpdate(
      FencingNumber fencing,
      long revision,
      boolean whole,
      List<Fingerprint> held,
      List<Fingerprint> watched,
      Optional<List<Fingerprint>> undecided)
      implements ServingReply {
    /** Copies the lists. */
    public QuarantineUpdate {
      held = List.copyOf(held);
      watched = List.copyOf(watched);
      undecided = undecided.map(List::copyOf);
    }

    /**
     * Creates an update in which all held requests are decided.
     *
     * @param fencing fencing number of the leadership that holds the requests
     * @param revision increases with each change under this leadership
     * @param whole false while the leader may not have received reports from all VMs
     * @param held requests during which too many upstreams were lost
     * @param watched suspect requests whose complete answers the VM must report
     */
    public QuarantineUpdate(
        FencingNumber fencing,
        long revision,
        boolean whole,
        List<Fingerprint> held,
        List<Fingerprint> watched) {
      this(fencing, revision, whole, held, watched, Optional.empty());
    }
  }

  /**
   * Allows the VM to send a held request to one upstream once.
   *
   * @param fencing fencing number of the permitting leadership
   * @param request the request
   * @param forMs time for which the VM may wait for the request to arrive, in milliseconds
   */
  record Trial(FencingNumber fencing, Fingerprint request, long forMs) implements ServingReply {}

  /**
   * Carries the newest rollout of each service.
   *
   * @param fencing fencing number of the confirming leadership
   * @param revision revision of the rollouts
   * @param rollouts the rollouts
   */
  record RolloutUpdate(FencingNumber fencing, long revision, List<Rollout> rollouts)
      implements ServingReply {
    /** Copies the list. */
    public RolloutUpdate {
      rollouts = List.copyOf(rollouts);
    }
  }

  /**
   * Allocates requests that the VM may send to the target versions of rollouts.
   *
   * @param fencing fencing number of the allocating leadership
   * @param sequence sequence of the requesting message; a VM that has sent a later request ignores
   *     the allowances of an earlier one
   * @param forMs validity in milliseconds, counted from the VM's request
   * @param loans the allowances
   */
  record CanaryLoans(FencingNumber fencing, long sequence, long forMs, List<CanaryAllowance> loans)
      implements ServingReply {
    /** Copies the list. */
    public CanaryLoans {
      loans = List.copyOf(loans);
    }
  }

  /**
   * Carries the rate limits that upstreams have announced or recently lifted.
   *
   * @param fencing fencing number of the sending leadership
   * @param sightings the newest observation of each upstream, by any VM
   */
  record LimitUpdate(FencingNumber fencing, List<RateLimitObservation> sightings)
      implements ServingReply {
    /** Copies the list. */
    public LimitUpdate {
      sightings = List.copyOf(sightings);
    }
  }

  /**
   * Permits the VM to send requests to rate-limited upstreams.
   *
   * @param fencing fencing number of the permitting leadership
   * @param sequence sequence of the requesting message
   * @param forMs validity in milliseconds, counted from the VM's request
   * @param permits number of requests that may be sent to each upstream
   */
  record SendPermits(FencingNumber fencing, long sequence, long forMs, List<SendPermit> permits)
      implements ServingReply {
    /** Copies the list. */
    public SendPermits {
      permits = List.copyOf(permits);
    }
  }

  /**
   * Carries the registrations of all upstreams that have not deregistered.
   *
   * @param fencing fencing number of the confirming leadership
   * @param revision revision of the registrations
   * @param present the registrations
   */
  record RegistryUpdate(FencingNumber fencing, long revision, List<Registration> present)
      implements ServingReply {
    /** Copies the list. */
    public RegistryUpdate {
      present = List.copyOf(present);
    }
  }
}
