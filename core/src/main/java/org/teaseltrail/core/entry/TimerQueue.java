package org.teaseltrail.core.entry;

import java.util.Comparator;
import java.util.Optional;
import java.util.OptionalLong;
import java.util.TreeSet;
import org.teaseltrail.core.id.RequestId;

/** Holds the times at which something about a request falls due. */
final class TimerQueue {

  /** Says what falls due. */
  enum Kind {
    DEADLINE,
    RESUME
  }

  /** Is one timer; the attempt matters for resumes only. */
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

  /** Takes a timer back, so that far deadlines of ended requests hold no memory. */
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

  /** Returns the timer of a request's deadline. */
  static Timer deadline(long deadlineNs, RequestId request) {
    return new Timer(deadlineNs, Kind.DEADLINE, request, 0);
  }
}
