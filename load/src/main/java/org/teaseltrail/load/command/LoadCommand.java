package org.teaseltrail.load.command;

import java.io.IOException;
import java.io.PrintStream;
import net.sourceforge.argparse4j.inf.Namespace;
import net.sourceforge.argparse4j.inf.Subparser;

/** Is a subcommand of the program. */
interface LoadCommand {

  /** Returns its name on the command line. */
  String name();

  /** Adds its help and arguments. */
  void addArguments(Subparser parser);

  /**
   * Runs it.
   *
   * @param arguments the parsed command line
   * @param out takes the report
   * @return whether every check held
   * @throws IOException if a report's file can't be written
   */
  boolean run(Namespace arguments, PrintStream out) throws IOException;
}
