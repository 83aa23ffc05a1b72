package org.teaseltrail.runtime.process;

/** Exit codes of a process; the same for all programs. */
public enum ExitCode {
  /** The command succeeded, or the process was stopped by SIGTERM and shut down gracefully. */
  OK(0),
  /** Internal error of the program. */
  INTERNAL(1),
  /** The command line is invalid. */
  USAGE(2),
  /** The settings file is invalid. */
  SETTINGS(3),
  /** The data folder can't be used: it is missing, locked, damaged or belongs to another member. */
  DATA(4),
  /** The program can't listen on an address. */
  LISTEN(5),
  /** No server answered, or none of them is the leader. */
  UNAVAILABLE(6),
  /** The configuration is no longer at the expected revision. */
  CONFLICT(7),
  /** The server rejected the request as invalid. */
  INVALID(8),
  /** The requested object does not exist. */
  NOT_FOUND(9),
  /** The change id was already used for a different change. */
  CHANGE_ID_REUSED(10),
  /** The operation did not complete within the timeout; it may still take effect. */
  TIMEOUT(11),
  /** A region could not be reached, so the change was refused. */
  REGION_UNREACHABLE(12);

  private final int code;

  ExitCode(int code) {
    this.code = code;
  }

  /**
   * Returns the process's exit status.
   *
   * @return from 0 to 12
   */
  public int code() {
    return code;
  }
}
