package org.teaseltrail.core.control;

import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.Deque;
import java.util.List;
import java.util.OptionalLong;
import java.util.function.Supplier;
import org.teaseltrail.core.replication.Member;
import org.teaseltrail.core.replication.RecoveredState;
import org.teaseltrail.core.replication.Replica;
import org.teaseltrail.core.replication.ReplicaSettings;
import org.teaseltrail.core.schedule.PoolScheduler;
import org.teaseltrail.core.schedule.SchedulerSettings;

/** Runs one control member on a fake disk; the member can be killed, paused and partitioned. */
final class FakeControlMember {

  private static final long SYNC_NS = 1_000_000L;

  private final FakeControlGroup group;
  private final Member member;
  private final FakeDisk disk;
  private final Deque<ControlEvent> held = new ArrayDeque<>();
  private final List<ControlAction> actions = new ArrayList<>();
  private ControlMember control;
  private boolean serving;
  private boolean paused;
  private boolean partitioned;
  private long wakeupNs;
  private int incarnation;

  FakeControlMember(FakeControlGroup group, Member member, RecoveredState initial) {
    this.group = group;
    this.member = member;
    disk = new FakeDisk(initial);
  }

  Member member() {
    return member;
  }

  FakeDisk disk() {
    return disk;
  }

  ControlMember control() {
    return control;
  }

  boolean isServing() {
    return control != null && !paused && serving && control.isLeaseValid(group.nowNs());
  }

  boolean isPartitioned() {
    return partitioned;
  }

  /**
   * Returns all actions since the start of the test except writes, snapshots and messages to peers.
   */
  List<ControlAction> actions() {
    return actions;
  }

  void start(ReplicaSettings settings) {
    if (control != null) {
      return;
    }
    incarnation++;
    wakeupNs = Long.MAX_VALUE;
    Replica replica =
        new Replica(
            FakeControlGroup.GROUP,
            member.id(),
            settings,
            disk.recovered(),
            group.random(),
            group.nowNs());
    control =
        new ControlMember(
            member.id(),
            group.settings(),
            replica,
            group.codec(),
            (pool, fencing, seed) ->
                new PoolScheduler(pool, fencing, SchedulerSettings.defaults(), seed));
    handle(new ControlEvent.Tick());
  }

  void kill() {
    paused = false;
    incarnation++;
    control = null;
    serving = false;
    held.clear();
  }

  void pause() {
    paused = true;
  }

  /** Resumes at the current time with the events received during the pause. */
  void resume() {
    paused = false;
    while (!held.isEmpty()) {
      handle(held.removeFirst());
    }
    handle(new ControlEvent.Tick());
  }

  void setPartitioned(boolean isPartitioned) {
    partitioned = isPartitioned;
  }

  void handle(ControlEvent event) {
    if (control == null) {
      return;
    }
    if (paused) {
      held.addLast(event);
      return;
    }
    control.handle(event, group.nowNs()).forEach(this::execute);
    scheduleWakeup();
  }

  private void execute(ControlAction action) {
    if (action instanceof ControlAction.Persist persist) {
      completeLater(
          () -> {
            disk.sync(persist.write());
            return new ControlEvent.Persisted(persist.write().writeNumber());
          });
    } else if (action instanceof ControlAction.EncodeSnapshot encode) {
      byte[] state = group.codec().encodeSnapshot(encode.snapshot());
      completeLater(() -> new ControlEvent.SnapshotEncoded(encode.index(), state));
    } else if (action instanceof ControlAction.SendToPeer send) {
      group.sendPeer(this, send.envelope());
    } else {
      actions.add(action);
      group.onAction(this, action);
    }
    if (action instanceof ControlAction.LeadershipChanged changed) {
      serving = changed.serving();
    }
  }

  /**
   * Completes slow work outside the member and reports the result unless the member was killed in
   * the meantime.
   */
  private void completeLater(Supplier<ControlEvent> work) {
    int startedIncarnation = incarnation;
    group.after(
        SYNC_NS,
        () -> {
          if (incarnation == startedIncarnation) {
            handle(work.get());
          }
        });
  }

  private void scheduleWakeup() {
    OptionalLong wanted = control.nextWakeupNs();
    if (wanted.isEmpty() || wanted.getAsLong() >= wakeupNs) {
      return;
    }
    wakeupNs = wanted.getAsLong();
    int startedIncarnation = incarnation;
    group.after(
        Math.max(0, wakeupNs - group.nowNs()) + 1_000,
        () -> {
          if (incarnation == startedIncarnation) {
            wakeupNs = Long.MAX_VALUE;
            handle(new ControlEvent.Tick());
          }
        });
  }
}
