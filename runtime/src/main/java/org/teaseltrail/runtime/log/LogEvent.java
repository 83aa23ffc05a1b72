package org.teaseltrail.runtime.log;

import java.util.EnumSet;
import java.util.Locale;
import java.util.Set;

/** Names what log lines tell of, and which fields the lines of each may have. */
public enum LogEvent {
  /** A process starts. */
  START,
  /** A process ends. */
  STOP,
  /** An entry VM may take its plan for the newest from now on. */
  SESSION_GAINED(LogField.PLAN_VERSION),
  /** An entry VM may not any more. */
  SESSION_LOST(LogField.PLAN_VERSION),
  /** An entry VM applies a newer plan. */
  PLAN_IN_FORCE(LogField.VERSION),
  /** Changed settings were read. */
  SETTINGS_RELOADED(LogField.SEEDS),
  /** An entry VM was told to end. */
  DRAIN_BEGIN(LogField.OPEN),
  /** An entry VM ends. */
  DRAIN_END(LogField.OPEN),
  /** A whole answer was delivered. */
  REQUEST_SERVED(Shared.OF_REQUEST, LogField.LONGEST_PAUSE_MS, LogField.STATUS),
  /** An attempt ended without a good answer. */
  ATTEMPT_FAILED(
      Shared.OF_REQUEST,
      LogField.END,
      LogField.STATUS,
      LogField.AT_UPSTREAM_MS,
      LogField.FINGERPRINT),
  /** A caller got an answer of this system's own. */
  REQUEST_REFUSED(
      Shared.OF_REQUEST,
      LogField.REASON,
      LogField.MAYBE_RAN,
      LogField.STATUS,
      LogField.RETRY_AFTER_MS,
      LogField.FINGERPRINT),
  /** The leader holds a request: upstreams were lost under it, so none gets it any longer. */
  REQUEST_HELD(LogField.FINGERPRINT, LogField.CUSTOMER, LogField.LOSSES),
  /** The leader lets a held request go to upstreams again. */
  REQUEST_RELEASED(LogField.FINGERPRINT, LogField.CUSTOMER),
  /** An upstream names a limit in an answer, another one than before, or none any longer. */
  LIMIT_TOLD(LogField.UPSTREAM, LogField.LIMITED, LogField.LIMIT_PER_S),
  /** An upstream turned a request away and wants none from this VM for a while. */
  BACKOFF_TOLD(LogField.UPSTREAM, LogField.BACKOFF_MS),
  /** An upstream says in an answer that it is about to leave. */
  LEAVING_TOLD(LogField.UPSTREAM),
  /** A caller closed its connection before the answer's end. */
  CALLER_LEFT(Shared.OF_REQUEST, LogField.BEGUN),
  /** A control member has read an operator's plan. */
  PLAN_RECEIVED(LogField.VERSION),
  /** An operator's plan isn't valid. */
  PLAN_REFUSED(LogField.REASON),
  /** An operator's order of a rollout isn't taken. */
  ROLLOUT_REFUSED(LogField.REASON),
  /** A rollout was ordered, or has turned to another phase. */
  ROLLOUT_TURNED(
      LogField.SERVICE,
      LogField.UPSTREAM_VERSION,
      LogField.PHASE,
      LogField.REASON,
      LogField.LENT,
      LogField.REACHED,
      LogField.ROUTE,
      LogField.ANSWERS,
      LogField.BAD_ANSWERS,
      LogField.ANSWERS_BEFORE,
      LogField.BAD_ANSWERS_BEFORE),
  /** A call of the operator or of an upstream is answered; of heartbeats those that matter. */
  CALL_ENDED(
      LogField.CALL,
      LogField.VERSION,
      LogField.SERVICE,
      LogField.UPSTREAM,
      LogField.END,
      LogField.ELAPSED_MS,
      LogField.COMMIT_MS),
  /** A control member's thread was busy with one thing for long. */
  STEP_SLOW(LogField.STEP, LogField.ELAPSED_MS),
  /** A control member's disk took long to sync. */
  SYNC_SLOW(LogField.ELAPSED_MS),
  /** A heartbeat can't be taken in: it is of another writer, or was damaged. */
  HEARTBEAT_REFUSED(LogField.UPSTREAM, LogField.REASON),
  /** An upstream took leave. */
  UPSTREAM_LEAVES(LogField.UPSTREAM),
  /** A control member leads, follows another, or knows no leader. */
  LEADERSHIP_CHANGED(LogField.TERM, LogField.LEADER, LogField.LEADING);

  private final Set<LogField> fields;

  LogEvent(LogField... fields) {
    this(EnumSet.noneOf(LogField.class), fields);
  }

  LogEvent(Set<LogField> shared, LogField... fields) {
    this.fields = EnumSet.of(LogField.LINES_DROPPED_BEFORE, fields);
    this.fields.addAll(shared);
  }

  /**
   * Returns the event's name in a line.
   *
   * @return lower case with underscores
   */
  public String text() {
    return name().toLowerCase(Locale.ROOT);
  }

  /**
   * Tells whether a line of this event may have a field beside those of every line.
   *
   * @param field the field
   * @return false if such a line never has it
   */
  public boolean has(LogField field) {
    return fields.contains(field);
  }

  /** Holds fields that several events share; an enum can't refer to its own before its values. */
  private static final class Shared {

    private static final Set<LogField> OF_REQUEST =
        EnumSet.of(
            LogField.REQUEST,
            LogField.ELAPSED_MS,
            LogField.CUSTOMER,
            LogField.ROUTE,
            LogField.OBJECTIVE_MS,
            LogField.DEADLINE_MS,
            LogField.UPSTREAM,
            LogField.UPSTREAM_VERSION,
            LogField.CANARY,
            LogField.ATTEMPT,
            LogField.WAITED_MS,
            LogField.FIRST_EVENT_MS);
  }
}
