package org.teaseltrail.load;

import org.teaseltrail.load.command.LoadCommandLine;
import org.teaseltrail.runtime.process.ExitCode;

/** Entry point of the tool for load tests and policy experiments. */
public final class LoadMain {

  private LoadMain() {}

  /**
   * Runs the program.
   *
   * @param args the command line
   */
  public static void main(String[] args) {
    ExitCode exitCode = new LoadCommandLine(System.out, System.err).run(args);
    System.exit(exitCode.code());
  }
}
