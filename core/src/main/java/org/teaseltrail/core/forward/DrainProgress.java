package org.teaseltrail.core.forward;

import java.util.ArrayList;
import java.util.List;
import java.util.Optional;
import java.util.OptionalLong;

/** How far the planned stop of this VM has got, if one has begun. */
final class DrainProgress {

  private static final long NS_PER_MS = 1_000_000L;

  private Optional<DrainSchedule> schedule = Optional.empty();
  private long signalNs;
  private int entered;

  /** Begins the stop; has no effect if it has begun before. */
  void begin(DrainSchedule times, long signalledNs) {
    if (schedule.isEmpty()) {
      schedule = Optional.of(times);
      signalNs = signalledNs;
    }
  }

  /** Returns whether requests are still taken. */
  boolean mayTake(long nowNs) {
    return !hasBegun(DrainPhase.REFUSING, nowNs);
  }

  /** Returns whether a request that is at no upstream and no peer may still be sent to one. */
  boolean maySend(long nowNs) {
    return !hasBegun(DrainPhase.NOT_SENDING, nowNs);
  }

  /** Returns the phases that have begun since the last call, in their order. */
  List<DrainPhase> pollEntered(long nowNs) {
    List<DrainPhase> begun = new ArrayList<>();
    DrainPhase[] phases = DrainPhase.values();
    while (entered < phases.length && hasBegun(phases[entered], nowNs)) {
      begun.add(phases[entered]);
      entered++;
    }
    return begun;
  }

  /** Returns when the next phase begins. */
  OptionalLong nextDueNs() {
    DrainPhase[] phases = DrainPhase.values();
    return schedule.isEmpty() || entered == phases.length
        ? OptionalLong.empty()
        : OptionalLong.of(beginNs(schedule.get(), phases[entered]));
  }

  private boolean hasBegun(DrainPhase phase, long nowNs) {
    return schedule.map(times -> nowNs >= beginNs(times, phase)).orElse(false);
  }

  private long beginNs(DrainSchedule times, DrainPhase phase) {
    return signalNs + times.beginMs(phase) * NS_PER_MS;
  }
}
