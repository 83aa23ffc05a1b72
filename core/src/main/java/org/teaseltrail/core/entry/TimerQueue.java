package org.teaseltrail.core.entry;

import java.util.Comparator;
import java.util.Optional;
import java.util.OptionalLong;
import java.util.PriorityQueue;
import org.teaseltrail.core.id.RequestId;

/** Holds the times at which something about a request falls due. Timers of ended ones fire idly. */
final class TimerQueue {

  /** Says what falls due. */
  enum Kind {
    DEADLINE,
    RESUME
  }

  /** Is one timer; the attempt matters for resumes only. */
  record Timer(long atNs, Kind kind, RequestId request, int attempt) {}

  private final PriorityQueue<Timer> timers =
      new PriorityQueue<>(Comparator.comparingLong(Timer::atNs));

  void add(Timer timer) {
    timers.add(timer);
  }

  Optional<Timer> pollDue(long nowNs) {
    Timer first = timers.peek();
    return first == null || first.atNs() > nowNs ? Optional.empty() : Optional.of(timers.remove());
  }

  OptionalLong nextNs() {
    Timer first = timers.peek();
    return first == null ? OptionalLong.empty() : OptionalLong.of(first.atNs());
  }
}
