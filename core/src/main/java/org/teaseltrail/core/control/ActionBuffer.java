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
import org.teaseltrail.core.id.ServiceId;
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

/** Collects the actions that one event causes. */
final class ActionBuffer {

  /** Number of recent decisions that are kept for operators. */
  private static final int MAX_DECISIONS = 200;

  private static final long NS_PER_MS = 1_000_000L;

  private record TimedDecision(Decision decision, long atNs) {}

  private final Deque<TimedDecision> decisions = new ArrayDeque<>();
  private List<ControlAction> actions = new ArrayList<>();
  private BooleanSupplier isLeaseValid = () -> false;

  /** Sets the check whether the member's lease is valid. */
  void setLeaseCheck(BooleanSupplier leaseCheck) {
    isLeaseValid = leaseCheck;
  }

  List<ControlAction> take() {
    List<ControlAction> collected = actions;
    actions = new ArrayList<>();
    return collected;
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
    addLeaseBound(new ControlAction.SendToEntryVm(vm, message));
  }

  void sendToServingVm(VmId vm, ServingReply reply) {
    ControlAction action = new ControlAction.SendToServingVm(vm, reply);
    if (action.requiresLease()) {
      addLeaseBound(action);
    } else {
      actions.add(action);
    }
  }

  void sendOrder(EngineOrder order) {
    addLeaseBound(new ControlAction.SendOrder(order));
  }

  void reply(long callId, OperatorResult result) {
    actions.add(new ControlAction.Reply(callId, result));
  }

  void log(Decision decision, long nowNs) {
    if (decisions.size() == MAX_DECISIONS) {
      decisions.removeLast();
    }
    decisions.addFirst(new TimedDecision(decision, nowNs));
    actions.add(new ControlAction.LogDecision(decision));
  }

  void requestQuarantined(
      Fingerprint request, Optional<CustomerId> customer, int losses, int quarantinedCount) {
    actions.add(new ControlAction.RequestQuarantined(request, customer, losses, quarantinedCount));
  }

  void requestUndecided(Fingerprint request, Optional<CustomerId> customer, int losses) {
    actions.add(new ControlAction.RequestUndecided(request, customer, losses));
  }

  void requestReleased(Fingerprint request, Optional<CustomerId> customer, int quarantinedCount) {
    actions.add(new ControlAction.RequestReleased(request, customer, quarantinedCount));
  }

  void rolloutPhaseChanged(Rollout rollout, Optional<Verdict> verdict) {
    actions.add(new ControlAction.RolloutPhaseChanged(rollout, verdict));
  }

  void slotShares(ServiceId service, int slots, List<SlotShare> shares) {
    actions.add(new ControlAction.LogSlotShares(service, slots, shares));
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

  void learnerPromoted(MemberId member, long elapsedMs) {
    actions.add(new ControlAction.LearnerPromoted(member, elapsedMs));
  }

  /** Returns the most recent decisions, newest first. */
  List<RecentDecision> decisions(long nowNs) {
    return decisions.stream()
        .map(logged -> new RecentDecision(logged.decision(), (nowNs - logged.atNs()) / NS_PER_MS))
        .toList();
  }

  private void addLeaseBound(ControlAction action) {
    Invariant.check(isLeaseValid.getAsBoolean(), InvariantName.OUTWARD_ONLY_UNDER_LEASE);
    actions.add(action);
  }
}
