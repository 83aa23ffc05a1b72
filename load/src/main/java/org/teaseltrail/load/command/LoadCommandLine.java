package org.teaseltrail.load.command;

import java.io.IOException;
import java.io.PrintStream;
import java.io.PrintWriter;
import java.nio.charset.StandardCharsets;
import java.util.List;
import net.sourceforge.argparse4j.ArgumentParsers;
import net.sourceforge.argparse4j.helper.HelpScreenException;
import net.sourceforge.argparse4j.inf.ArgumentParser;
import net.sourceforge.argparse4j.inf.ArgumentParserException;
import net.sourceforge.argparse4j.inf.Namespace;
import net.sourceforge.argparse4j.inf.Subparser;
import net.sourceforge.argparse4j.inf.Subparsers;
import org.teaseltrail.load.workload.InvalidWorkloadException;
import org.teaseltrail.runtime.process.ExitCode;

/** Parses the command line and runs the selected subcommand. */
public final class LoadCommandLine {

  private static final String COMMAND = "command";

  private final List<LoadCommand> commands =
      List.of(new PolicyCommand(), new RunCommand(), new CompareCommand(), new PrepareCommand());
  private final PrintStream out;
  private final PrintStream err;

  /** Creates the command line with the output streams for reports and error messages. */
  public LoadCommandLine(PrintStream out, PrintStream err) {
    this.out = out;
    this.err = err;
  }

  /** Runs the program and returns its exit code. */
  public ExitCode run(String... args) {
    ArgumentParser parser = parser();
    try {
      Namespace arguments = parser.parseArgs(args);
      LoadCommand command = arguments.get(COMMAND);
      return command.run(arguments, out) ? ExitCode.OK : ExitCode.INTERNAL;
    } catch (HelpScreenException e) {
      return ExitCode.OK;
    } catch (ArgumentParserException e) {
      parser.handleError(e, new PrintWriter(err, true, StandardCharsets.UTF_8));
      return ExitCode.USAGE;
    } catch (InvalidWorkloadException e) {
      err.println("teaseltrail-load: " + e.getMessage());
      return ExitCode.USAGE;
    } catch (IOException e) {
      err.println("teaseltrail-load: " + e);
      return ExitCode.DATA;
    }
  }

  private ArgumentParser parser() {
    ArgumentParser parser =
        ArgumentParsers.newFor("teaseltrail-load")
            .build()
            .defaultHelp(true)
            .description("Measures the scheduler under load.");
    Subparsers subparsers = parser.addSubparsers().title("commands").metavar("COMMAND");
    for (LoadCommand command : commands) {
      Subparser subparser = subparsers.addParser(command.name()).setDefault(COMMAND, command);
      subparser.defaultHelp(true);
      command.addArguments(subparser);
    }
    return parser;
  }
}
