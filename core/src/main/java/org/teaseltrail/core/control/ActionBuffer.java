package org.teaseltrail.core.control;

import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.Deque;
import java.util.List;
import java.util.Optional;
import java.util.function.BooleanSupplier;
import org.teaseltrail.core.decision.Decision;
import org.teaseltrail.core.id.CustomerId;
import org.teaseltrail.core.id.MemberId;
import org.teaseltrail.core.id.VmId;
import org.teaseltrail.core.invariant.Invariant;
import org.teaseltrail.core.invariant.InvariantName;
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

/** Collects the actions of one event. */
final class ActionBuffer {

  /** Decisions that an operator can look back on. */
  private static final int MAX_DECISIONS = 200;

  private static final long NS_PER_MS = 1_000_000L;

  private record Taken(Decision decision, long atNs) {}

  private final Deque<Taken> decisions = new ArrayDeque<>();
  private List<ControlAction> actions = new ArrayList<>();
  private BooleanSupplier leaseHolds = () -> false;

  /** Sets how to find out whether the member's lease holds. */
  void setLeaseCheck(BooleanSupplier lease) {
    leaseHolds = lease;
  }

  List<ControlAction> take() {
    List<ControlAction> taken = actions;
    actions = new ArrayList<>();
    return taken;
  }

  void persist(ReplicaAction.Write write) {
    actions.add(new ControlAction.Persist(write));
  }

  void encodeSnapshot(long index, ClusterSnapshot snapshot) {
    actions.add(new ControlAction.EncodeSnapshot(index, snapshot));
  }

  void sendToPeer(PeerEnvelope envelope) {
    actions.add(new ControlAction.SendToPeer(envelope));
  }

  void sendNotLeader(VmId vm, ControlMessage.NotLeader message) {
    actions.add(new ControlAction.SendNotLeader(vm, message));
  }

  void sendToEntryVm(VmId vm, ControlMessage message) {
    outward(new ControlAction.SendToEntryVm(vm, message));
  }

  void sendToServingVm(VmId vm, ServingReply reply) {
    outward(new ControlAction.SendToServingVm(vm, reply));
  }

  /** Tells an entry VM that this member doesn't lead; true without a lease. */
  void sendNotLeading(VmId vm, ServingReply.NotLeading reply) {
    actions.add(new ControlAction.SendToServingVm(vm, reply));
  }

  void sendOrder(EngineOrder order) {
    outward(new ControlAction.SendOrder(order));
  }

  void reply(long callId, OperatorResult result) {
    actions.add(new ControlAction.Reply(callId, result));
  }

  void log(Decision decision, long nowNs) {
    if (decisions.size() == MAX_DECISIONS) {
      decisions.removeLast();
    }
    decisions.addFirst(new Taken(decision, nowNs));
    actions.add(new ControlAction.LogDecision(decision));
  }

  void requestQuarantined(
      Fingerprint request, Optional<CustomerId> customer, int losses, int heldInAll) {
    actions.add(new ControlAction.RequestQuarantined(request, customer, losses, heldInAll));
  }

  void requestReleased(Fingerprint request, Optional<CustomerId> customer, int heldInAll) {
    actions.add(new ControlAction.RequestReleased(request, customer, heldInAll));
  }

  void rolloutPhaseChanged(Rollout rollout, Optional<Verdict> verdict) {
    actions.add(new ControlAction.RolloutPhaseChanged(rollout, verdict));
  }

  void leadershipChanged(boolean serving, long term, Optional<MemberId> leader) {
    actions.add(new ControlAction.LeadershipChanged(serving, term, leader));
  }

  void handOverRejected(ProposalRejection reason) {
    actions.add(new ControlAction.HandOverRejected(reason));
  }

  void membershipChanged(Membership membership) {
    actions.add(new ControlAction.MembershipChanged(membership));
  }

  /** Returns the newest decisions, newest first. */
  List<RecentDecision> decisions(long nowNs) {
    return decisions.stream()
        .map(taken -> new RecentDecision(taken.decision(), (nowNs - taken.atNs()) / NS_PER_MS))
        .toList();
  }

  private void outward(ControlAction action) {
    Invariant.check(leaseHolds.getAsBoolean(), InvariantName.OUTWARD_ONLY_UNDER_LEASE);
    actions.add(action);
  }
}
