package org.teaseltrail.cli.explain;

import java.time.Duration;
import java.time.Instant;
import java.util.Comparator;
import java.util.List;
import java.util.Optional;
import java.util.Set;

/**
 * Timeline of one request: its own log lines, and the lines that its VM, its upstreams and the
 * control members wrote shortly before and during it.
 */
final class RequestTimeline {

  /** Time before the request from which lines are considered: the lifetime of a session. */
  private static final Duration PERIOD_BEFORE = Duration.ofSeconds(3);

  /**
   * Time after the request's end up to which lines are considered; a clock skew of up to this size
   * may go undetected.
   */
  private static final Duration PERIOD_AFTER = Duration.ofMillis(500);

  /** Events of the request's own VM that can explain its outcome. */
  private static final Set<String> VM_EVENTS =
      Set.of(
          "start",
          "stop",
          "session_gained",
          "session_lost",
          "plan_in_force",
          "settings_reloaded",
          "drain_begin",
          "drain_end");

  /** Events of control members that can explain its outcome. */
  private static final Set<String> CONTROL_EVENTS =
      Set.of("start", "stop", "plan_received", "plan_refused", "leadership_changed");

  private static final String CONTROL_PROGRAM = "teaseltrail-control";

  private final String request;
  private final List<LogLine> all;
  private final List<LogLine> ownLines;

  RequestTimeline(String request, List<LogLine> lines) {
    this.request = request;
    ClockSkewEstimator skews = new ClockSkewEstimator(lines);
    all = lines.stream().map(skews::align).toList();
    ownLines = all.stream().filter(line -> line.isAbout(request)).toList();
  }

  String request() {
    return request;
  }

  /** Returns the request's own lines, in the order in which its VM wrote them. */
  List<LogLine> ownLines() {
    return ownLines;
  }

  /** Returns the request's last line, which reports its outcome. */
  Optional<LogLine> end() {
    return ownLines.isEmpty() ? Optional.empty() : Optional.of(ownLines.get(ownLines.size() - 1));
  }

  /**
   * Returns the time when the complete request had been read, derived from the last line's time and
   * its elapsed time.
   */
  Optional<Instant> arrivalTime() {
    return end().map(line -> line.time().minusMillis(line.number("elapsed_ms").orElse(0)));
  }

  /** Returns other lines of that period that may be related, ordered by time. */
  List<LogLine> relatedLines() {
    return linesInPeriod().stream()
        .filter(this::isRelated)
        .sorted(Comparator.comparing(LogLine::time))
        .toList();
  }

  /**
   * Counts other requests that were refused for a reason in that period, either at the same VM or
   * at all others.
   */
  long countConcurrentRefusals(String reason, boolean sameVm) {
    return linesInPeriod().stream()
        .filter(line -> line.event().equals("request_refused"))
        .filter(line -> line.text("reason").filter(reason::equals).isPresent())
        .filter(line -> isFromSameVm(line) == sameVm)
        .filter(line -> !line.isAbout(request))
        .count();
  }

  /** Counts other attempts at the request's last upstream that failed in that period. */
  long countConcurrentUpstreamFailures() {
    Optional<String> upstream = end().flatMap(line -> line.text("upstream"));
    return linesInPeriod().stream()
        .filter(line -> line.event().equals("attempt_failed"))
        .filter(line -> upstream.isPresent() && line.text("upstream").equals(upstream))
        .filter(line -> !line.isAbout(request))
        .count();
  }

  private List<LogLine> linesInPeriod() {
    if (ownLines.isEmpty()) {
      return List.of();
    }
    Instant from = arrivalTime().orElseThrow().minus(PERIOD_BEFORE);
    Instant until = end().orElseThrow().time().plus(PERIOD_AFTER);
    return all.stream()
        .filter(line -> !line.time().isBefore(from) && !line.time().isAfter(until))
        .toList();
  }

  private boolean isRelated(LogLine line) {
    boolean upstreamLeft =
        line.event().equals("upstream_leaves")
            && ownLines.stream()
                .anyMatch(each -> each.text("upstream").equals(line.text("upstream")));
    boolean controlEvent = line.isFrom(CONTROL_PROGRAM) && CONTROL_EVENTS.contains(line.event());
    return upstreamLeft || controlEvent || (isFromSameVm(line) && VM_EVENTS.contains(line.event()));
  }

  private boolean isFromSameVm(LogLine line) {
    return end().filter(last -> last.vm().equals(line.vm())).isPresent();
  }
}
