package org.teaseltrail.core.control;

import java.util.List;
import java.util.Optional;
import org.teaseltrail.core.decision.Decision;
import org.teaseltrail.core.id.CustomerId;
import org.teaseltrail.core.id.MemberId;
import org.teaseltrail.core.id.ServiceId;
import org.teaseltrail.core.id.VmId;
import org.teaseltrail.core.message.ControlMessage;
import org.teaseltrail.core.quarantine.Fingerprint;
import org.teaseltrail.core.replication.Membership;
import org.teaseltrail.core.replication.PeerEnvelope;
import org.teaseltrail.core.replication.ProposalRejection;
import org.teaseltrail.core.replication.ReplicaAction;
import org.teaseltrail.core.rollout.Rollout;
import org.teaseltrail.core.rollout.Verdict;
import org.teaseltrail.core.serving.ServingReply;
import org.teaseltrail.core.state.ClusterSnapshot;

/**
 * An action that a control member requests from its process. Actions are carried out in the order
 * in which they are returned.
 */
public sealed interface ControlAction {

  /**
   * Returns whether the action may be carried out only while the member's lease is valid. The
   * process checks the lease again immediately before, holds the action back while the lease is not
   * valid, and drops it if the member stops serving as leader.
   */
  default boolean requiresLease() {
    return false;
  }

  /**
   * Write to the data folder, then report completion to the member.
   *
   * @param write the write
   */
  record Persist(ReplicaAction.Write write) implements ControlAction {}

  /**
   * Encode a snapshot and return it to the member. The process does so on another thread: encoding
   * a hundred thousand claims takes a second, in which a leader would lose its lease.
   *
   * @param index index of the last entry applied
   * @param snapshot the state
   */
  record EncodeSnapshot(long index, ClusterSnapshot snapshot) implements ControlAction {}

  /**
   * Send a message to another member.
   *
   * @param envelope the message
   */
  record SendToPeer(PeerEnvelope envelope) implements ControlAction {}

  /**
   * Inform an entry VM that this member is not the leader.
   *
   * @param vm the VM
   * @param message the message
   */
  record SendNotLeader(VmId vm, ControlMessage.NotLeader message) implements ControlAction {}

  /**
   * Send a message of the leader to an entry VM whose requests the leader schedules.
   *
   * @param vm the VM
   * @param message the message
   */
  record SendToEntryVm(VmId vm, ControlMessage message) implements ControlAction {
    @Override
    public boolean requiresLease() {
      return true;
    }
  }

  /**
   * Send a message to an entry VM that places requests itself.
   *
   * @param vm the VM
   * @param reply the message
   */
  record SendToServingVm(VmId vm, ServingReply reply) implements ControlAction {
    @Override
    public boolean requiresLease() {
      return reply.requiresLease();
    }
  }

  /**
   * Send an order to an engine.
   *
   * @param order the order
   */
  record SendOrder(EngineOrder order) implements ControlAction {
    @Override
    public boolean requiresLease() {
      return true;
    }
  }

  /**
   * Answer a request of an operator.
   *
   * @param callId the call
   * @param result the answer
   */
  record Reply(long callId, OperatorResult result) implements ControlAction {}

  /**
   * Write a scheduling decision to the log.
   *
   * @param decision the decision
   */
  record LogDecision(Decision decision) implements ControlAction {}

  /**
   * The leader has quarantined a request: it is sent to no upstream any more.
   *
   * @param request the request
   * @param customer the customer that sent it, if known
   * @param losses upstreams that were lost while processing it, 0 if an earlier leader quarantined
   *     it
   * @param quarantinedCount number of requests in quarantine now
   */
  record RequestQuarantined(
      Fingerprint request, Optional<CustomerId> customer, int losses, int quarantinedCount)
      implements ControlAction {}

  /**
   * Upstreams were lost under a request, and under others with it: it waits until the leader knows
   * whether it caused the losses.
   *
   * @param request the request
   * @param customer the customer that sent it, if known
   * @param losses upstreams that were lost while processing it
   */
  record RequestUndecided(Fingerprint request, Optional<CustomerId> customer, int losses)
      implements ControlAction {}

  /**
   * The leader has released a request that was quarantined or undecided: it may be sent to
   * upstreams again.
   *
   * @param request the request
   * @param customer the customer that sent it, if known
   * @param quarantinedCount number of requests in quarantine now
   */
  record RequestReleased(Fingerprint request, Optional<CustomerId> customer, int quarantinedCount)
      implements ControlAction {}

  /**
   * A rollout was ordered or has moved to a later phase.
   *
   * @param rollout the rollout in its new phase
   * @param verdict the verdict that caused the transition, if the target version was found faulty
   */
  record RolloutPhaseChanged(Rollout rollout, Optional<Verdict> verdict) implements ControlAction {}

  /**
   * Write to the log what customers and kinds of requests have of a service's slots.
   *
   * @param service the service
   * @param slots number of slots of its ready upstreams that accept requests
   * @param shares the largest shares, the largest first
   */
  record LogSlotShares(ServiceId service, int slots, List<SlotShare> shares)
      implements ControlAction {
    /** Copies the list. */
    public LogSlotShares {
      shares = List.copyOf(shares);
    }
  }

  /**
   * The member has started or stopped serving as leader, or another member has become leader.
   *
   * @param serving whether it serves as leader
   * @param term its term
   * @param leader the leader it knows
   */
  record LeadershipChanged(boolean serving, long term, Optional<MemberId> leader)
      implements ControlAction {}

  /**
   * Leadership can't be transferred, so the process need not wait for the transfer before it stops.
   *
   * @param reason the reason
   */
  record HandOverRejected(ProposalRejection reason) implements ControlAction {}

  /**
   * The member set has changed.
   *
   * @param membership the member set
   */
  record MembershipChanged(Membership membership) implements ControlAction {}

  /**
   * The leader has made a learner a voter.
   *
   * @param member the new voter
   * @param elapsedMs time since this leader first saw it among the learners, in milliseconds
   */
  record LearnerPromoted(MemberId member, long elapsedMs) implements ControlAction {}
}
