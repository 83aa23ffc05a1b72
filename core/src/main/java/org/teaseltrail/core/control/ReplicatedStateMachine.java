package org.teaseltrail.core.control;

import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.Deque;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.TreeMap;
import org.teaseltrail.core.replication.EntryPayload;
import org.teaseltrail.core.replication.LogEntry;
import org.teaseltrail.core.replication.Membership;
import org.teaseltrail.core.replication.MembershipChange;
import org.teaseltrail.core.replication.Replica;
import org.teaseltrail.core.replication.ReplicaAction;
import org.teaseltrail.core.replication.ReplicaEvent;
import org.teaseltrail.core.state.ClusterSnapshot;
import org.teaseltrail.core.state.ClusterState;
import org.teaseltrail.core.state.Command;
import org.teaseltrail.core.state.CommandResult;
import org.teaseltrail.core.state.StateCodec;

/**
 * Connects the replicated log with the state machine that applies it. Events are processed one at a
 * time: all actions of an event are carried out before the next one starts, so writes keep their
 * order.
 */
final class ReplicatedStateMachine {

  /** Receives changes of the log and of leadership. */
  interface Listener {
    void applied(Command command, CommandResult result, long nowNs);

    void restored(long nowNs);

    void becameLeader(long term, long nowNs);

    void lostLeadership(long nowNs);

    void leaderChanged(long nowNs);
  }

  /** Receives the outcome of a read. */
  interface ReadCallback {
    void ready();

    void refused();
  }

  private record AppendedProposal(long term, ProposalCallback callback) {}

  private final Replica replica;
  private final StateCodec codec;
  private final ActionBuffer actions;
  private final Listener listener;
  private final Deque<ReplicaEvent> pendingEvents = new ArrayDeque<>();
  private final Map<Long, ProposalCallback> proposed = new HashMap<>();
  private final Map<Long, AppendedProposal> appended = new TreeMap<>();
  private final Map<Long, ReadCallback> reads = new HashMap<>();
  private ClusterState state = new ClusterState(ClusterSnapshot.empty());
  private Membership membership = Membership.empty();
  private boolean draining;
  private long lastProposalId;

  ReplicatedStateMachine(
      Replica replica, StateCodec codec, ActionBuffer actions, Listener listener) {
    this.replica = replica;
    this.codec = codec;
    this.actions = actions;
    this.listener = listener;
  }

  ClusterState state() {
    return state;
  }

  Membership membership() {
    return membership;
  }

  Replica replica() {
    return replica;
  }

  void propose(Command command, ProposalCallback callback, long nowNs) {
    long id = registerCallback(callback);
    handle(new ReplicaEvent.Propose(id, codec.encodeCommand(command)), nowNs);
  }

  void propose(MembershipChange change, ProposalCallback callback, long nowNs) {
    long id = registerCallback(callback);
    handle(new ReplicaEvent.ProposeMembership(id, change), nowNs);
  }

  long registerCallback(ProposalCallback callback) {
    lastProposalId++;
    proposed.put(lastProposalId, callback);
    return lastProposalId;
  }

  /**
   * Requests a linearizable read: a quorum confirms leadership after this call, and then everything
   * committed by then is visible.
   */
  void read(ReadCallback callback, long nowNs) {
    lastProposalId++;
    reads.put(lastProposalId, callback);
    handle(new ReplicaEvent.ReadBarrier(lastProposalId), nowNs);
  }

  void removeCallback(long proposalId) {
    proposed.remove(proposalId);
  }

  void handle(ReplicaEvent event, long nowNs) {
    pendingEvents.add(event);
    if (draining) {
      return;
    }
    draining = true;
    while (!pendingEvents.isEmpty()) {
      replica.handle(pendingEvents.poll(), nowNs).forEach(action -> execute(action, nowNs));
      announceMembership();
    }
    draining = false;
  }

  private void execute(ReplicaAction action, long nowNs) {
    if (action instanceof ReplicaAction.Write write) {
      actions.persist(write);
    } else if (action instanceof ReplicaAction.SendPeerMessage send) {
      actions.sendToPeer(send.envelope());
    } else if (action instanceof ReplicaAction.Apply apply) {
      apply.entries().forEach(entry -> apply(entry, nowNs));
    } else if (action instanceof ReplicaAction.RestoreSnapshot restore) {
      state = new ClusterState(codec.decodeSnapshot(restore.snapshot().state()));
      listener.restored(nowNs);
    } else if (action instanceof ReplicaAction.TakeSnapshot take) {
      actions.encodeSnapshot(take.index(), state.snapshot());
    } else if (action instanceof ReplicaAction.ReadReady ready) {
      reads.remove(ready.barrierId()).ready();
    } else if (action instanceof ReplicaAction.ReadRejected rejected) {
      reads.remove(rejected.barrierId()).refused();
    } else {
      executeLeadershipAction(action, nowNs);
    }
  }

  /**
   * Announces a change of the member set, including a set that was recovered from disk. If a
   * recovered set were not announced, the process would not know the VM of any member after a
   * restart and could send no messages.
   */
  private void announceMembership() {
    if (!replica.membership().equals(membership)) {
      membership = replica.membership();
      actions.membershipChanged(membership);
    }
  }

  private void executeLeadershipAction(ReplicaAction action, long nowNs) {
    if (action instanceof ReplicaAction.BecameLeader became) {
      listener.becameLeader(became.term(), nowNs);
    } else if (action instanceof ReplicaAction.LostLeadership) {
      listener.lostLeadership(nowNs);
      closeProposals(nowNs);
    } else if (action instanceof ReplicaAction.LeaderChanged) {
      listener.leaderChanged(nowNs);
    } else if (action instanceof ReplicaAction.ProposalAppended accepted) {
      ProposalCallback callback = proposed.remove(accepted.proposalId());
      appended.put(accepted.index(), new AppendedProposal(accepted.term(), callback));
    } else if (action instanceof ReplicaAction.ProposalRejected rejected) {
      ProposalCallback callback = proposed.remove(rejected.proposalId());
      if (callback != null) {
        callback.rejected(rejected.reason(), nowNs);
      }
    }
  }

  private void apply(LogEntry entry, long nowNs) {
    if (!(entry.payload() instanceof EntryPayload.CommandPayload payload)) {
      notifyProposer(entry, null, nowNs);
      return;
    }
    Command command = codec.decodeCommand(payload.bytes());
    CommandResult result = state.apply(command);
    notifyProposer(entry, result, nowNs);
    listener.applied(command, result, nowNs);
  }

  /**
   * Answers the proposer of an entry before anybody else is notified of the change.
   *
   * <p>The time to notify all entry VMs grows with their number. If the proposer were answered
   * afterwards, an operator could time out and resend an order that was committed at once.
   */
  private void notifyProposer(LogEntry entry, CommandResult result, long nowNs) {
    AppendedProposal proposal = appended.remove(entry.index());
    if (proposal == null || proposal.callback() == null) {
      return;
    }
    if (proposal.term() == entry.term()) {
      proposal.callback().committed(result, nowNs);
    } else {
      proposal.callback().outcomeIndeterminate(nowNs);
    }
  }

  private void closeProposals(long nowNs) {
    List<ProposalCallback> unresolved = new ArrayList<>(proposed.values());
    appended.values().forEach(proposal -> unresolved.add(proposal.callback()));
    proposed.clear();
    appended.clear();
    unresolved.forEach(callback -> callback.outcomeIndeterminate(nowNs));
  }
}
