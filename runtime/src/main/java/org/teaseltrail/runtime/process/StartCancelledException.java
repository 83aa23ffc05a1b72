package org.teaseltrail.runtime.process;

/** Thrown when a program is stopped before its start has succeeded. */
public final class StartCancelledException extends ProgramException {

  private static final long serialVersionUID = 1L;

  /** Creates the exception. */
  public StartCancelledException() {
    super(ExitCode.OK, "stopped during the start");
  }
}
