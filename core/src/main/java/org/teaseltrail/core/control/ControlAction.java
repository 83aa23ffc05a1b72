package org.teaseltrail.core.control;

import java.util.Optional;
import org.teaseltrail.core.decision.Decision;
import org.teaseltrail.core.id.CustomerId;
import org.teaseltrail.core.id.MemberId;
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

/** Is something that a control member wants done, in the order given. */
public sealed interface ControlAction {

  /**
   * Returns whether the action may only be carried out while the member's lease holds. The program
   * looks at the lease again right before, keeps the action back while it does not hold, and drops
   * it if the member ceases to serve as leader.
   */
  default boolean requiresLease() {
    return false;
  }

  /**
   * Write to the data folder, then tell the member.
   *
   * @param write the write
   */
  record Persist(ReplicaAction.Write write) implements ControlAction {}

  /**
   * Encode a snapshot and tell the member. The program does so on another thread: a hundred
   * thousand claims take a second, in which a leader would lose its lease.
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
   * Tell an entry VM that this member does not lead.
   *
   * @param vm the VM
   * @param message the message
   */
  record SendNotLeader(VmId vm, ControlMessage.NotLeader message) implements ControlAction {}

  /**
   * Send a leader's message to an entry VM.
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
      return !(reply instanceof ServingReply.NotLeading);
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
   * Answer an operator.
   *
   * @param callId the call
   * @param result the answer
   */
  record Reply(long callId, OperatorResult result) implements ControlAction {}

  /**
   * Write a decision to the log.
   *
   * @param decision the decision
   */
  record LogDecision(Decision decision) implements ControlAction {}

  /**
   * The leader holds a request that no upstream may get any longer.
   *
   * @param request the request
   * @param customer whose it is, if that is known
   * @param losses upstreams that were lost under it, 0 if another leader held it
   * @param quarantinedCount requests that are held now
   */
  record RequestQuarantined(
      Fingerprint request, Optional<CustomerId> customer, int losses, int quarantinedCount)
      implements ControlAction {}

  /**
   * The leader lets a held request go to upstreams again.
   *
   * @param request the request
   * @param customer whose it is, if that is known
   * @param quarantinedCount requests that are held now
   */
  record RequestReleased(Fingerprint request, Optional<CustomerId> customer, int quarantinedCount)
      implements ControlAction {}

  /**
   * A rollout was ordered, or has turned to a later phase.
   *
   * @param rollout the rollout in its new phase
   * @param verdict what decided it, if its version was found bad
   */
  record RolloutPhaseChanged(Rollout rollout, Optional<Verdict> verdict) implements ControlAction {}

  /**
   * The member has begun or ceased to serve as leader, or knows another leader.
   *
   * @param serving whether it serves as leader
   * @param term its term
   * @param leader the leader it knows
   */
  record LeadershipChanged(boolean serving, long term, Optional<MemberId> leader)
      implements ControlAction {}

  /**
   * Leadership can't be handed over, so the process need not wait for it.
   *
   * @param reason why
   */
  record HandOverRejected(ProposalRejection reason) implements ControlAction {}

  /**
   * The member set has changed.
   *
   * @param membership the member set
   */
  record MembershipChanged(Membership membership) implements ControlAction {}
}
