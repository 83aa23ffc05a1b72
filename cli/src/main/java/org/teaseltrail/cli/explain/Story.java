package org.teaseltrail.cli.explain;

import java.time.Duration;
import java.time.Instant;
import java.util.Comparator;
import java.util.List;
import java.util.Optional;
import java.util.Set;

/**
 * Is what the logs say of one request: its own lines, and what its VM, its upstreams and the
 * control members told shortly before and meanwhile.
 */
final class Story {

  /** How long before the request what was told is of interest: a session's lifetime. */
  private static final Duration BEFORE = Duration.ofSeconds(3);

  /** How long after its end; clocks may differ by that much without a sign. */
  private static final Duration AFTER = Duration.ofMillis(500);

  /** What is worth telling of the request's own VM. */
  private static final Set<String> OF_ITS_VM =
      Set.of(
          "start",
          "stop",
          "session_gained",
          "session_lost",
          "plan_in_force",
          "settings_reloaded",
          "drain_begin",
          "drain_end");

  /** What is worth telling of the control members. */
  private static final Set<String> OF_CONTROL =
      Set.of("start", "stop", "plan_received", "plan_refused", "leadership_changed");

  private static final String CONTROL = "teaseltrail-control";

  private final String request;
  private final List<LogLine> all;
  private final List<LogLine> own;

  Story(String request, List<LogLine> lines) {
    this.request = request;
    VmClocks clocks = new VmClocks(lines);
    all = lines.stream().map(clocks::aligned).toList();
    own = all.stream().filter(line -> line.isAbout(request)).toList();
  }

  String request() {
    return request;
  }

  /** Returns the request's own lines, as its VM wrote them. */
  List<LogLine> own() {
    return own;
  }

  /** Returns the line that tells the request's end. */
  Optional<LogLine> end() {
    return own.isEmpty() ? Optional.empty() : Optional.of(own.get(own.size() - 1));
  }

  /** Returns when the request had been read, by its lines' own reckoning. */
  Optional<Instant> arrived() {
    return end().map(line -> line.time().minusMillis(line.number("elapsed_ms").orElse(0)));
  }

  /** Returns what else was told at that time and may have to do with it, in order of time. */
  List<LogLine> context() {
    return meanwhile().stream()
        .filter(this::concerns)
        .sorted(Comparator.comparing(LogLine::time))
        .toList();
  }

  /**
   * Counts other requests that were refused meanwhile for a reason, at the same VM or elsewhere.
   */
  long refusedMeanwhile(String reason, boolean sameVm) {
    return meanwhile().stream()
        .filter(line -> line.event().equals("request_refused"))
        .filter(line -> line.text("reason").filter(reason::equals).isPresent())
        .filter(line -> isOfItsVm(line) == sameVm)
        .filter(line -> !line.isAbout(request))
        .count();
  }

  /** Counts other attempts that failed meanwhile at the request's last upstream. */
  long failedMeanwhileAtItsUpstream() {
    Optional<String> upstream = end().flatMap(line -> line.text("upstream"));
    return meanwhile().stream()
        .filter(line -> line.event().equals("attempt_failed"))
        .filter(line -> upstream.isPresent() && line.text("upstream").equals(upstream))
        .filter(line -> !line.isAbout(request))
        .count();
  }

  private List<LogLine> meanwhile() {
    if (own.isEmpty()) {
      return List.of();
    }
    Instant from = arrived().orElseThrow().minus(BEFORE);
    Instant until = end().orElseThrow().time().plus(AFTER);
    return all.stream()
        .filter(line -> !line.time().isBefore(from) && !line.time().isAfter(until))
        .toList();
  }

  private boolean concerns(LogLine line) {
    boolean ofItsUpstream =
        line.event().equals("upstream_leaves")
            && own.stream().anyMatch(each -> each.text("upstream").equals(line.text("upstream")));
    boolean ofControl = line.isFrom(CONTROL) && OF_CONTROL.contains(line.event());
    return ofItsUpstream || ofControl || (isOfItsVm(line) && OF_ITS_VM.contains(line.event()));
  }

  private boolean isOfItsVm(LogLine line) {
    return end().filter(last -> last.vm().equals(line.vm())).isPresent();
  }
}
