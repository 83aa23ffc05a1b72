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
 * Joins the log and the state it builds. Events for the log are taken one after the other: the
 * actions of one are carried out before the next begins, so writes keep their order.
 */
final class ReplicatedStateMachine {

  /** Learns what the log does. */
  interface Listener {
    void applied(Command command, CommandResult result, long nowNs);

    void restored(long nowNs);

    void becameLeader(long term, long nowNs);

    void lostLeadership(long nowNs);

    void leaderChanged(long nowNs);
  }

  /** Learns what becomes of a read. */
  interface ReadCallback {
    void ready();

    void refused();
  }

  private record Appended(long term, ProposalCallback callback) {}

  private final Replica replica;
  private final StateCodec codec;
  private final ActionBuffer out;
  private final Listener listener;
  private final Deque<ReplicaEvent> inbox = new ArrayDeque<>();
  private final Map<Long, ProposalCallback> proposed = new HashMap<>();
  private final Map<Long, Appended> appended = new TreeMap<>();
  private final Map<Long, ReadCallback> reads = new HashMap<>();
  private ClusterState state = new ClusterState(ClusterSnapshot.empty());
  private Membership membership = Membership.empty();
  private boolean draining;
  private long lastProposalId;

  ReplicatedStateMachine(Replica replica, StateCodec codec, ActionBuffer out, Listener listener) {
    this.replica = replica;
    this.codec = codec;
    this.out = out;
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

  /** Asks for a read of all that is committed, confirmed by a quorum from now on. */
  void read(ReadCallback callback, long nowNs) {
    lastProposalId++;
    reads.put(lastProposalId, callback);
    handle(new ReplicaEvent.ReadBarrier(lastProposalId), nowNs);
  }

  void removeCallback(long proposalId) {
    proposed.remove(proposalId);
  }

  void handle(ReplicaEvent event, long nowNs) {
    inbox.add(event);
    if (draining) {
      return;
    }
    draining = true;
    while (!inbox.isEmpty()) {
      replica.handle(inbox.poll(), nowNs).forEach(action -> carryOut(action, nowNs));
      tellMembership();
    }
    draining = false;
  }

  private void carryOut(ReplicaAction action, long nowNs) {
    if (action instanceof ReplicaAction.Write write) {
      out.persist(write);
    } else if (action instanceof ReplicaAction.SendPeer send) {
      out.sendToPeer(send.envelope());
    } else if (action instanceof ReplicaAction.Apply apply) {
      apply.entries().forEach(entry -> apply(entry, nowNs));
    } else if (action instanceof ReplicaAction.RestoreSnapshot restore) {
      state = new ClusterState(codec.decodeSnapshot(restore.snapshot().state()));
      listener.restored(nowNs);
    } else if (action instanceof ReplicaAction.TakeSnapshot take) {
      out.encodeSnapshot(take.index(), state.snapshot());
    } else if (action instanceof ReplicaAction.ReadReady ready) {
      reads.remove(ready.barrierId()).ready();
    } else if (action instanceof ReplicaAction.ReadRejected rejected) {
      reads.remove(rejected.barrierId()).refused();
    } else {
      carryOutLeadership(action, nowNs);
    }
  }

  /**
   * Guards against a member set that was recovered from disk and never told of as a change: the
   * program would not know the VM of any member after a restart, and no message would leave it.
   */
  private void tellMembership() {
    if (!replica.membership().equals(membership)) {
      membership = replica.membership();
      out.membershipChanged(membership);
    }
  }

  private void carryOutLeadership(ReplicaAction action, long nowNs) {
    if (action instanceof ReplicaAction.BecameLeader became) {
      listener.becameLeader(became.term(), nowNs);
    } else if (action instanceof ReplicaAction.LostLeadership) {
      listener.lostLeadership(nowNs);
      endProposals(nowNs);
    } else if (action instanceof ReplicaAction.LeaderChanged) {
      listener.leaderChanged(nowNs);
    } else if (action instanceof ReplicaAction.ProposalAppended accepted) {
      ProposalCallback callback = proposed.remove(accepted.proposalId());
      appended.put(accepted.index(), new Appended(accepted.term(), callback));
    } else if (action instanceof ReplicaAction.ProposalRejected rejected) {
      ProposalCallback callback = proposed.remove(rejected.proposalId());
      if (callback != null) {
        callback.rejected(rejected.reason(), nowNs);
      }
    }
  }

  private void apply(LogEntry entry, long nowNs) {
    if (!(entry.payload() instanceof EntryPayload.CommandPayload payload)) {
      answer(entry, null, nowNs);
      return;
    }
    Command command = codec.decodeCommand(payload.bytes());
    CommandResult result = state.apply(command);
    answer(entry, result, nowNs);
    listener.applied(command, result, nowNs);
  }

  /**
   * Answers who proposed an entry, before anybody else is told of what it changed.
   *
   * <p>Guards against an operator who is answered too late and sends the order again and again,
   * though it was committed at once: telling all entry VMs takes as long as there are many of them.
   */
  private void answer(LogEntry entry, CommandResult result, long nowNs) {
    Appended own = appended.remove(entry.index());
    if (own == null || own.callback() == null) {
      return;
    }
    if (own.term() == entry.term()) {
      own.callback().committed(result, nowNs);
    } else {
      own.callback().outcomeIndeterminate(nowNs);
    }
  }

  private void endProposals(long nowNs) {
    List<ProposalCallback> open = new ArrayList<>(proposed.values());
    appended.values().forEach(own -> open.add(own.callback()));
    proposed.clear();
    appended.clear();
    open.forEach(callback -> callback.outcomeIndeterminate(nowNs));
  }
}
