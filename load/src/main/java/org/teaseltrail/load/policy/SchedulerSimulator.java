package org.teaseltrail.load.policy;

import java.util.OptionalLong;
import java.util.function.Consumer;
import org.teaseltrail.core.id.VmId;
import org.teaseltrail.core.message.EntryMessage;
import org.teaseltrail.core.schedule.Scheduler;
import org.teaseltrail.core.schedule.SchedulerAction;
import org.teaseltrail.core.schedule.SchedulerEvent;

/** Simulates one scheduler in virtual time; messages and claims have constant delays. */
final class SchedulerSimulator {

  private static final long NO_TICK = Long.MAX_VALUE;

  private final VirtualTimeExecutor time;
  private final Scheduler scheduler;
  private final long delayNs;
  private final long claimNs;
  private final Consumer<SchedulerAction.Send> toEntry;
  private final RunMetrics measures;
  private long nextTickNs = NO_TICK;

  /**
   * Creates the simulator of a scheduler.
   *
   * @param delayNs one-way message delay between an entry VM and the scheduler
   * @param claimNs time until a claim is committed
   * @param toEntry receives each message when it reaches its entry VM
   */
  SchedulerSimulator(
      VirtualTimeExecutor time,
      Scheduler scheduler,
      long delayNs,
      long claimNs,
      Consumer<SchedulerAction.Send> toEntry,
      RunMetrics measures) {
    this.time = time;
    this.scheduler = scheduler;
    this.delayNs = delayNs;
    this.claimNs = claimNs;
    this.toEntry = toEntry;
    this.measures = measures;
  }

  /** Sends a message from an entry VM to the scheduler. */
  void send(VmId vm, EntryMessage message) {
    time.scheduleAfter(delayNs, () -> handle(new SchedulerEvent.FromEntry(vm, message)));
  }

  void handle(SchedulerEvent event) {
    for (SchedulerAction action : scheduler.handle(event, time.nowNs())) {
      execute(action);
    }
    scheduleTick();
  }

  private void execute(SchedulerAction action) {
    if (action instanceof SchedulerAction.Send send) {
      time.scheduleAfter(delayNs, () -> toEntry.accept(send));
    } else if (action instanceof SchedulerAction.CommitClaim commit) {
      var granted = new SchedulerEvent.ClaimGranted(commit.ticket().request());
      time.scheduleAfter(claimNs, () -> handle(granted));
    } else if (action instanceof SchedulerAction.Log) {
      measures.decision();
    }
  }

  private void scheduleTick() {
    OptionalLong wakeupNs = scheduler.nextWakeupNs();
    if (wakeupNs.isPresent() && wakeupNs.getAsLong() < nextTickNs) {
      long atNs = Math.max(wakeupNs.getAsLong(), time.nowNs() + 1);
      nextTickNs = atNs;
      time.scheduleAt(atNs, () -> tick(atNs));
    }
  }

  private void tick(long scheduledNs) {
    if (scheduledNs == nextTickNs) {
      nextTickNs = NO_TICK;
      handle(new SchedulerEvent.Tick());
    }
  }
}
