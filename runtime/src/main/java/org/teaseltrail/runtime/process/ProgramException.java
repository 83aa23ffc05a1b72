package org.teaseltrail.runtime.process;

/** Thrown when a program can't start or continue; its exit code gives the reason. */
public class ProgramException extends Exception {

  private static final long serialVersionUID = 1L;

  private final ExitCode exitCode;

  /**
   * Creates the exception.
   *
   * @param exitCode the exit code of the process
   * @param message the message shown to the operator; must not contain a secret
   */
  public ProgramException(ExitCode exitCode, String message) {
    super(message);
    this.exitCode = exitCode;
  }

  /**
   * Creates the exception.
   *
   * @param exitCode the exit code of the process
   * @param message the message shown to the operator; must not contain a secret
   * @param cause the underlying exception
   */
  public ProgramException(ExitCode exitCode, String message, Throwable cause) {
    super(message, cause);
    this.exitCode = exitCode;
  }

  /**
   * Returns the exit code of the process.
   *
   * @return the exit code
   */
  public ExitCode exitCode() {
    return exitCode;
  }
}
