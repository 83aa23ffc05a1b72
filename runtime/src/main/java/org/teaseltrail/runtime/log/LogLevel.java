package org.teaseltrail.runtime.log;

import ch.qos.logback.classic.Level;

/** Says from which severity on lines are written. */
public enum LogLevel {
  /** Failures that need an operator. */
  ERROR(Level.ERROR),
  /** Also what may become one. */
  WARN(Level.WARN),
  /** Also decisions and changes of state. */
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
