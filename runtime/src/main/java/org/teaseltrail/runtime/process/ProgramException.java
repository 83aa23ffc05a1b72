package org.teaseltrail.runtime.process;

/** Tells that a program can't start or go on, with the exit code that says why. */
public class ProgramException extends Exception {

  private static final long serialVersionUID = 1L;

  private final ExitCode exitCode;

  /**
   * Makes the failure.
   *
   * @param exitCode why
   * @param message what an operator reads; no secret
   */
  public ProgramException(ExitCode exitCode, String message) {
    super(message);
    this.exitCode = exitCode;
  }

  /**
   * Makes the failure.
   *
   * @param exitCode why
   * @param message what an operator reads; no secret
   * @param cause what went wrong
   */
  public ProgramException(ExitCode exitCode, String message, Throwable cause) {
    super(message, cause);
    this.exitCode = exitCode;
  }

  /**
   * Returns why.
   *
   * @return the exit code
   */
  public ExitCode exitCode() {
    return exitCode;
  }
}
