package org.teaseltrail.cli;

import net.sourceforge.argparse4j.inf.Namespace;
import org.teaseltrail.runtime.process.ExitCode;
import org.teaseltrail.runtime.process.ProgramException;

/** Command of the command line. */
interface Command {

  /** Key under which the parsed arguments hold the selected command. */
  String KEY = "chosen_command";

  /**
   * Runs the command.
   *
   * @param context the client and the output of the command
   * @param arguments the parsed arguments
   * @return the exit code
   * @throws ProgramException if the command fails
   */
  ExitCode run(CommandContext context, Namespace arguments) throws ProgramException;
}
