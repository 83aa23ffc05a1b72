package org.teaseltrail.cli;

import net.sourceforge.argparse4j.inf.Namespace;
import org.teaseltrail.runtime.process.ExitCode;
import org.teaseltrail.runtime.process.ProgramException;

/** Is one command of the command line. */
interface Command {

  /** Under this name the command line keeps the command that was chosen. */
  String KEY = "chosen_command";

  /**
   * Runs the command.
   *
   * @param context what it works with
   * @param arguments its arguments
   * @return the exit code
   * @throws ProgramException if it can't be run
   */
  ExitCode run(CommandContext context, Namespace arguments) throws ProgramException;
}
