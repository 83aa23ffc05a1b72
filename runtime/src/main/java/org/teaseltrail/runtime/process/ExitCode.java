package org.teaseltrail.runtime.process;

/** Says by a process's exit code what became of it; the same for all programs. */
public enum ExitCode {
  /** It did what was asked, or was ended by SIGTERM and ended gracefully. */
  OK(0),
  /** A fault of the program itself. */
  INTERNAL(1),
  /** The command line is wrong. */
  USAGE(2),
  /** The settings file is wrong. */
  SETTINGS(3),
  /** The data folder can't be used: missing, locked, damaged or of another member. */
  DATA(4),
  /** An address can't be listened on. */
  LISTEN(5),
  /** No server answered, or none that leads. */
  UNAVAILABLE(6),
  /** The configuration has moved on: the expected revision is not the present one. */
  CONFLICT(7),
  /** The server found the request invalid. */
  INVALID(8),
  /** What was asked for does not exist. */
  NOT_FOUND(9),
  /** The change id was used before for another change. */
  CHANGE_ID_REUSED(10),
  /** It was not done within the time given; it may still be done. */
  TIMEOUT(11),
  /** A region could not be reached, so the change was refused. */
  REGION_UNREACHABLE(12);

  private final int code;

  ExitCode(int code) {
    this.code = code;
  }

  /**
   * Returns the number the process ends with.
   *
   * @return from 0 to 12
   */
  public int code() {
    return code;
  }
}
