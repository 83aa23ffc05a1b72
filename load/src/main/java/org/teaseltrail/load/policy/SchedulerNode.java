package org.teaseltrail.load.policy;

import java.util.OptionalLong;
import java.util.function.Consumer;
import org.teaseltrail.core.id.VmId;
import org.teaseltrail.core.message.EntryMessage;
import org.teaseltrail.core.schedule.Scheduler;
import org.teaseltrail.core.schedule.SchedulerAction;
import org.teaseltrail.core.schedule.SchedulerEvent;

/** Runs one scheduler in virtual time: messages take a fixed delay, claims a fixed time. */
final class SchedulerNode {

  private static final long NO_TICK = Long.MAX_VALUE;

  private final VirtualTime time;
  private final Scheduler scheduler;
  private final long delayNs;
  private final long claimNs;
  private final Consumer<SchedulerAction.Send> toEntry;
  private final Measures measures;
  private long tickAtNs = NO_TICK;

  /**
   * Creates the node.
   *
   * @param delayNs one-way time of a message between an entry VM and the scheduler
   * @param claimNs time until a claim is committed
   * @param toEntry takes each message at the time it reaches its entry VM
   */
  SchedulerNode(
      VirtualTime time,
      Scheduler scheduler,
      long delayNs,
      long claimNs,
      Consumer<SchedulerAction.Send> toEntry,
      Measures measures) {
    this.time = time;
    this.scheduler = scheduler;
    this.delayNs = delayNs;
    this.claimNs = claimNs;
    this.toEntry = toEntry;
    this.measures = measures;
  }

  /** Takes a message that an entry VM sends now. */
  void send(VmId vm, EntryMessage message) {
    time.after(delayNs, () -> handle(new SchedulerEvent.FromEntry(vm, message)));
  }

  void handle(SchedulerEvent event) {
    for (SchedulerAction action : scheduler.handle(event, time.nowNs())) {
      carryOut(action);
    }
    planTick();
  }

  private void carryOut(SchedulerAction action) {
    if (action instanceof SchedulerAction.Send send) {
      time.after(delayNs, () -> toEntry.accept(send));
    } else if (action instanceof SchedulerAction.CommitClaim commit) {
      var granted = new SchedulerEvent.ClaimGranted(commit.ticket().request());
      time.after(claimNs, () -> handle(granted));
    } else if (action instanceof SchedulerAction.Log) {
      measures.decision();
    }
  }

  private void planTick() {
    OptionalLong wakeupNs = scheduler.nextWakeupNs();
    if (wakeupNs.isPresent() && wakeupNs.getAsLong() < tickAtNs) {
      long atNs = Math.max(wakeupNs.getAsLong(), time.nowNs() + 1);
      tickAtNs = atNs;
      time.at(atNs, () -> tick(atNs));
    }
  }

  private void tick(long plannedNs) {
    if (plannedNs == tickAtNs) {
      tickAtNs = NO_TICK;
      handle(new SchedulerEvent.Tick());
    }
  }
}
