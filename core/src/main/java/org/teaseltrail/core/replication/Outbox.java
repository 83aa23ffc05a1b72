package org.teaseltrail.core.replication;

import java.util.ArrayList;
import java.util.List;
import java.util.function.LongFunction;
import org.teaseltrail.core.id.MemberId;

/** Collects the actions that result from one event and assigns numbers to the writes. */
final class Outbox {

  private final GroupId group;
  private final MemberId self;
  private List<ReplicaAction> actions = new ArrayList<>();
  private long newestWriteNumber;

  Outbox(GroupId group, MemberId self) {
    this.group = group;
    this.self = self;
  }

  void add(ReplicaAction action) {
    actions.add(action);
  }

  void send(MemberId to, PeerMessage message) {
    actions.add(new ReplicaAction.SendPeerMessage(new PeerEnvelope(group, self, to, message)));
  }

  /** Adds a write with the next number and returns that number. */
  long write(LongFunction<ReplicaAction.Write> numbered) {
    newestWriteNumber++;
    actions.add(numbered.apply(newestWriteNumber));
    return newestWriteNumber;
  }

  long newestWriteNumber() {
    return newestWriteNumber;
  }

  List<ReplicaAction> drain() {
    List<ReplicaAction> drained = actions;
    actions = new ArrayList<>();
    return drained;
  }
}
