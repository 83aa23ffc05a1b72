package org.teaseltrail.load.command;

import java.io.IOException;
import java.io.PrintStream;
import net.sourceforge.argparse4j.inf.Namespace;
import net.sourceforge.argparse4j.inf.Subparser;

/** Subcommand of the program. */
interface LoadCommand {

  /** Returns the subcommand's name on the command line. */
  String name();

  /** Adds the subcommand's description and arguments to its parser. */
  void addArguments(Subparser parser);

  /**
   * Runs the subcommand.
   *
   * @param arguments the parsed command line
   * @param out receives the report
   * @return whether all checks passed
   * @throws IOException if a file can't be read or written
   */
  boolean run(Namespace arguments, PrintStream out) throws IOException;
}
