package org.teaseltrail.cli.explain;

import java.util.Arrays;
import java.util.function.Predicate;

/**
 * Diagnosis of a request: its outcome and the reason, derived from its last log line. The first
 * constant that matches applies.
 */
enum RequestDiagnosis {
  UNKNOWN(
      RequestDiagnosis::hasNoLines,
      "No line tells of it: it reached no VM whose log is here, or its VM was killed, or it was"
          + " served while more than the routine lines of a second were written.",
      "`start` lines of the VMs of its data centre at that time"),
  NO_PLAN(
      refusedFor("PLAN_UNCERTAIN"),
      "Its VM could not know whether its plan was the newest, as no control member had confirmed"
          + " it lately.",
      "`session_lost` on that VM; if all VMs lost it, the control members had no leader"),
  REJECTED(
      refusedFor("UNKNOWN_KEY", "NO_ROUTE"),
      "The plan in force there has no such key or route.",
      "`plan_in_force` on that VM, and what the plan of that version holds"),
  OVER_QUOTA(
      refusedFor("OVER_QUOTA"),
      "Its customer's quota was used up over all VMs, or the leader could not allow this VM more"
          + " in time.",
      "`retry_after_ms`: 300 means the VM's allowance, more means the quota"),
  NO_SLOT(
      refusedFor("NO_UPSTREAM", "WAITED_TOO_LONG", "NOT_RUN"),
      "No upstream had a place for it in time.",
      "the same refusals at other VMs: everywhere means too few upstreams, one VM alone means that"
          + " its view is wrong"),
  NO_SLOT_FORECAST(
      refusedFor("FORECAST"),
      "The leader's forecast said that it would get no slot in time, so it was refused at once.",
      "`expected_wait_ms` and `retry_after_ms`; the same refusals at other VMs show the burst"),
  QUARANTINED(
      refusedFor("QUARANTINED"),
      "Upstreams ended under requests with the same content, so no upstream gets it any longer.",
      "the leader's `request_held` with the same `fingerprint`, and each `attempt_failed` with it"),
  VM_DRAINING(
      refusedFor("ENDING"),
      "Its VM was about to end and takes no more requests.",
      "`drain_begin` on that VM"),
  VM_ENDED_FIRST(
      refusedFor("GIVEN_UP").or(lastEventIs("request_unanswered")),
      "Its VM had to end before the request did.",
      "`drain_begin` on that VM and `stage`; requests that last longer than the grace need a longer"
          + " `grace_s`"),
  BROKEN(
      refusedFor("BROKEN"),
      "An upstream's answer broke off or was none, and the request may not be repeated, or not any"
          + " more.",
      "the upstream's own log, and other failures there at that time"),
  TIMED_OUT(
      refusedFor("TIMED_OUT"),
      "An upstream had it until the time of the caller or of the route was over.",
      "`waited_ms` against `elapsed_ms`: a long wait means too few places, a short one a slow"
          + " upstream"),
  CALLER_LEFT(
      lastEventIs("caller_left"),
      "Its caller closed the connection before the answer's end.",
      "`first_event_ms` and `elapsed_ms`: whether it had waited long"),
  FAILED_BY_UPSTREAM(
      lastEventIs("request_served").and(RequestDiagnosis::hasFailureStatus),
      "The upstream answered with a failure, and that answer was passed on.",
      "the upstream's own log, and other failures there at that time"),
  LATE(
      lastEventIs("request_served").and(RequestDiagnosis::missedObjective),
      "It was answered after its objective.",
      "`waited_ms` for the wait for a place; the rest is the upstream's"),
  SERVED(
      lastEventIs("request_served"),
      "It was answered within its objective.",
      "`longest_pause_ms` if it was a stream"),
  OPEN(
      RequestDiagnosis::matchesAny,
      "Its end is not in these logs: it still runs, or its VM was killed.",
      "`start` lines of that VM after the last line");

  private static final int FIRST_FAILURE_STATUS = 500;

  private final Predicate<RequestTimeline> matches;
  private final String summary;
  private final String nextStep;

  RequestDiagnosis(Predicate<RequestTimeline> matches, String sentence, String lookNext) {
    this.matches = matches;
    this.summary = sentence;
    this.nextStep = lookNext;
  }

  /** Returns the first diagnosis that matches a request. */
  static RequestDiagnosis of(RequestTimeline story) {
    return Arrays.stream(values())
        .filter(cause -> cause.matches.test(story))
        .findFirst()
        .orElse(OPEN);
  }

  String summary() {
    return summary;
  }

  /** Returns where to look for the underlying cause. */
  String nextStep() {
    return nextStep;
  }

  private static Predicate<RequestTimeline> lastEventIs(String event) {
    return story -> story.end().filter(line -> line.event().equals(event)).isPresent();
  }

  private static Predicate<RequestTimeline> refusedFor(String... reasons) {
    return lastEventIs("request_refused")
        .and(
            story ->
                story
                    .end()
                    .flatMap(line -> line.text("reason"))
                    .filter(Arrays.asList(reasons)::contains)
                    .isPresent());
  }

  private static boolean hasNoLines(RequestTimeline story) {
    return story.ownLines().isEmpty();
  }

  private static boolean matchesAny(RequestTimeline story) {
    return true;
  }

  private static boolean hasFailureStatus(RequestTimeline story) {
    return lastNumber(story, "status") >= FIRST_FAILURE_STATUS;
  }

  private static long lastNumber(RequestTimeline story, String field) {
    return story.end().orElseThrow().number(field).orElse(0);
  }

  private static boolean missedObjective(RequestTimeline story) {
    LogLine end = story.end().orElseThrow();
    long answeredMs = end.number("first_event_ms").orElse(lastNumber(story, "elapsed_ms"));
    return end.number("objective_ms").stream().anyMatch(objectiveMs -> answeredMs > objectiveMs);
  }
}
