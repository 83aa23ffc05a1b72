package org.teaseltrail.core.replication;

import java.util.ArrayList;
import java.util.List;

/**
 * Queues read barriers and confirms each one after a quorum has replied to a heartbeat round that
 * began after the read was requested.
 *
 * <p>A leader that has been replaced without noticing would otherwise answer reads with stale
 * state. Only one round is in flight for reads; barriers that arrive meanwhile share the next
 * round.
 */
final class ReadBarrierQueue {

  private final Outbox outbox;
  private List<Long> confirming = new ArrayList<>();
  private List<Long> waiting = new ArrayList<>();
  private long confirmingRound;

  ReadBarrierQueue(Outbox outbox) {
    this.outbox = outbox;
  }

  void add(long barrierId) {
    waiting.add(barrierId);
  }

  /** Returns whether a new round must start for waiting barriers. */
  boolean needsRound() {
    return confirming.isEmpty() && !waiting.isEmpty();
  }

  void onRoundStarted(long round) {
    if (!needsRound()) {
      return;
    }
    confirming = waiting;
    waiting = new ArrayList<>();
    confirmingRound = round;
  }

  /** Confirms the pending barriers if a quorum has replied to their round or to a later one. */
  void onQuorumReply(long round) {
    if (confirming.isEmpty() || round < confirmingRound) {
      return;
    }
    confirming.forEach(id -> outbox.add(new ReplicaAction.ReadReady(id)));
    confirming = new ArrayList<>();
  }

  void rejectAll() {
    List<Long> all = new ArrayList<>(confirming);
    all.addAll(waiting);
    all.forEach(id -> outbox.add(new ReplicaAction.ReadRejected(id, ProposalRejection.NOT_LEADER)));
    confirming = new ArrayList<>();
    waiting = new ArrayList<>();
  }
}
