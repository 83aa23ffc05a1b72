package org.teaseltrail.core.entry;

import java.util.Comparator;
import java.util.Optional;
import java.util.OptionalLong;
import java.util.TreeSet;
import org.teaseltrail.core.id.RequestId;

/** Queue of the requests' timers, ordered by due time. */
final class TimerQueue {

  /** Kind of a timer. */
  enum Kind {
    DEADLINE,
    RESUME
  }

  /** Timer of a request; the attempt is used by resume timers only. */
  record Timer(long atNs, Kind kind, RequestId request, int attempt) {}

  private static final Comparator<Timer> ORDER =
      Comparator.comparingLong(Timer::atNs)
          .thenComparing(timer -> timer.request().value())
          .thenComparing(Timer::kind)
          .thenComparing(Timer::attempt);

  private final TreeSet<Timer> timers = new TreeSet<>(ORDER);

  void add(Timer timer) {
    timers.add(timer);
  }

  /** Cancels a timer, so that long deadlines of ended requests don't occupy memory. */
  void cancel(Timer timer) {
    timers.remove(timer);
  }

  Optional<Timer> pollDue(long nowNs) {
    boolean due = !timers.isEmpty() && timers.first().atNs() <= nowNs;
    return due ? Optional.of(timers.pollFirst()) : Optional.empty();
  }

  OptionalLong nextDueNs() {
    return timers.isEmpty() ? OptionalLong.empty() : OptionalLong.of(timers.first().atNs());
  }

  /** Returns the timer for a request's deadline. */
  static Timer deadline(long deadlineNs, RequestId request) {
    return new Timer(deadlineNs, Kind.DEADLINE, request, 0);
  }
}
