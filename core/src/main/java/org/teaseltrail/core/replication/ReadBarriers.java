package org.teaseltrail.core.replication;

import java.util.ArrayList;
import java.util.List;

/**
 * Confirms reads: a quorum must answer a round that began after the read was asked for.
 *
 * <p>Guards against a leader that was replaced without knowing it and answers with old state. One
 * round at a time is under way for reads; those asked for meanwhile share the next one.
 */
final class ReadBarriers {

  private final Outbox outbox;
  private List<Long> confirming = new ArrayList<>();
  private List<Long> waiting = new ArrayList<>();
  private long confirmingRound;

  ReadBarriers(Outbox outbox) {
    this.outbox = outbox;
  }

  void add(long barrierId) {
    waiting.add(barrierId);
  }

  /** Tells whether a new round is wanted now. */
  boolean wantsRound() {
    return confirming.isEmpty() && !waiting.isEmpty();
  }

  void roundBegun(long round) {
    if (!wantsRound()) {
      return;
    }
    confirming = waiting;
    waiting = new ArrayList<>();
    confirmingRound = round;
  }

  /** Takes the newest round that a quorum has answered. */
  void quorumAnswered(long round) {
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
