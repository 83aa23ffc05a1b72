package org.teaseltrail.core.serving;

import java.util.List;
import java.util.Optional;
import org.teaseltrail.core.backpressure.RateLimitObservation;
import org.teaseltrail.core.backpressure.SendPermit;
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

/** Is a message from a control member to an entry VM that places requests itself. */
public sealed interface ServingReply {

  /**
   * Answers a sync: this member doesn't lead.
   *
   * @param sequence the sync's
   * @param leader the leader's VM, if it is known
   * @param members VMs of all members that this one knows
   */
  record NotLeading(long sequence, Optional<VmId> leader, List<VmId> members)
      implements ServingReply {
    /** Copies the list. */
    public NotLeading {
      members = List.copyOf(members);
    }
  }

  /**
   * Answers a sync: this member leads, its lease holds, and nothing newer than what it names was
   * acknowledged to anyone when it was sent.
   *
   * @param fencing its leadership
   * @param sequence the sync's
   * @param planVersion version of the accepted plan
   * @param registryRevision revision of the accepted registrations
   * @param vmCount entry VMs with a session
   * @param members VMs of all members
   * @param places what the others have at upstreams, and which places are the VM's own; {@link
   *     UpstreamSlots#NONE} for as long as the leader doesn't know
   * @param contended services whose places the leader hands out
   * @param quotas what the VM may take of customers' quotas
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
      List<QuotaGrant> quotas)
      implements ServingReply {
    /** Copies the lists. */
    public Confirmed {
      members = List.copyOf(members);
      contended = List.copyOf(contended);
      quotas = List.copyOf(quotas);
    }
  }

  /**
   * Says for which services the leader hands out the places, since requests wait for them.
   *
   * @param fencing its leadership
   * @param services all such services
   */
  record Contention(FencingNumber fencing, List<ServiceId> services) implements ServingReply {
    /** Copies the list. */
    public Contention {
      services = List.copyOf(services);
    }
  }

  /**
   * Gives the VM a place for one of its waiting requests that can use it.
   *
   * @param fencing the leadership that gives it
   * @param sequence grows with each grant to this VM
   * @param service whose requests may use it
   * @param upstream where the place is
   * @param urgency that of the request it is meant for; any other may use it if there is none
   */
  record SlotGrant(
      FencingNumber fencing, long sequence, ServiceId service, UpstreamId upstream, Urgency urgency)
      implements ServingReply {}

  /**
   * Carries the accepted plan.
   *
   * @param fencing the leadership that confirms it
   * @param plan the plan
   */
  record PlanUpdate(FencingNumber fencing, ServingPlan plan) implements ServingReply {}

  /**
   * Carries the requests that no upstream may get, and those that are suspected.
   *
   * @param fencing the leadership that holds them
   * @param revision grows with each change under this leadership, from 1
   * @param whole false for as long as the leader may not have heard all VMs: what a VM was told
   *     before holds on beside it
   * @param held requests under which too many upstreams were lost
   * @param watched suspects of which a whole answer is to be told
   */
  record QuarantineUpdate(
      FencingNumber fencing,
      long revision,
      boolean whole,
      List<Fingerprint> held,
      List<Fingerprint> watched)
      implements ServingReply {
    /** Copies the lists. */
    public QuarantineUpdate {
      held = List.copyOf(held);
      watched = List.copyOf(watched);
    }
  }

  /**
   * Lets the VM send a held request to one upstream once.
   *
   * @param fencing the leadership that allows it
   * @param request the request
   * @param forMs how long the VM may wait for it to come, in milliseconds
   */
  record Trial(FencingNumber fencing, Fingerprint request, long forMs) implements ServingReply {}

  /**
   * Carries the newest rollout of each service.
   *
   * @param fencing the leadership that confirms them
   * @param revision their revision
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
   * Lends the VM requests that it may send to ordered versions.
   *
   * @param fencing the leadership that lends them
   * @param sequence that of the message that asked; a VM that has asked again takes no earlier loan
   * @param forMs how long they are good for from when the VM asked, in milliseconds
   * @param loans what is lent
   */
  record CanaryLoans(FencingNumber fencing, long sequence, long forMs, List<CanaryAllowance> loans)
      implements ServingReply {
    /** Copies the list. */
    public CanaryLoans {
      loans = List.copyOf(loans);
    }
  }

  /**
   * Carries which limits upstreams have named, and which they lately lifted.
   *
   * @param fencing the leadership that tells
   * @param sightings what the upstreams said last, to whichever VM
   */
  record LimitUpdate(FencingNumber fencing, List<RateLimitObservation> sightings)
      implements ServingReply {
    /** Copies the list. */
    public LimitUpdate {
      sightings = List.copyOf(sightings);
    }
  }

  /**
   * Lets the VM send requests to upstreams that have named limits.
   *
   * @param fencing the leadership that allows it
   * @param sequence that of the message that asked
   * @param forMs how long it holds from when the VM asked, in milliseconds
   * @param permits how many requests may be sent to which upstream
   */
  record SendPermits(FencingNumber fencing, long sequence, long forMs, List<SendPermit> permits)
      implements ServingReply {
    /** Copies the list. */
    public SendPermits {
      permits = List.copyOf(permits);
    }
  }

  /**
   * Carries the registrations of all upstreams that haven't left.
   *
   * @param fencing the leadership that confirms them
   * @param revision their revision
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
