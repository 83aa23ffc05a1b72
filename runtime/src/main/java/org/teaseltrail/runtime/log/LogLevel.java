package org.teaseltrail.runtime.log;

import ch.qos.logback.classic.Level;

/** Minimum severity of the log lines that are written. */
public enum LogLevel {
  /** Failures that need an operator's attention. */
  ERROR(Level.ERROR),
  /** Also problems that may turn into failures. */
  WARN(Level.WARN),
  /** Also decisions and state changes. */
  INFO(Level.INFO),
  /** Also each message between processes. */
  DEBUG(Level.DEBUG);

  private final Level level;

  LogLevel(Level level) {
    this.level = level;
  }

  Level level() {
    return level;
  }
}
