package org.teaseltrail.cli;

import java.io.BufferedReader;
import java.io.IOException;
import java.io.InputStream;
import java.io.InputStreamReader;
import java.nio.charset.StandardCharsets;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.List;
import net.sourceforge.argparse4j.inf.Namespace;
import net.sourceforge.argparse4j.inf.Subparser;
import net.sourceforge.argparse4j.inf.Subparsers;
import org.teaseltrail.cli.explain.RequestExplainer;
import org.teaseltrail.runtime.process.ExitCode;
import org.teaseltrail.runtime.process.ProgramException;

/** Explains from log files what happened to a request, and why. Calls no control member. */
final class ExplainCommand implements Command {

  private static final String REQUEST = "request_id";
  private static final String FILES = "files";

  private final InputStream standardInput;

  private ExplainCommand(InputStream standardInput) {
    this.standardInput = standardInput;
  }

  static void add(Subparsers commands) {
    Subparser parser =
        commands
            .addParser("explain")
            .help("tell from log files what became of a request, and why")
            .defaultHelp(true);
    parser.addArgument(REQUEST).metavar("REQUEST_ID").help("the id that its caller gave it");
    parser
        .addArgument(FILES)
        .nargs("*")
        .metavar("FILE")
        .help("logs of entry VMs and control members; none for standard input");
    parser.setDefault(Command.KEY, new ExplainCommand(System.in));
  }

  @Override
  public ExitCode run(CommandContext context, Namespace arguments) throws ProgramException {
    RequestExplainer explanation = new RequestExplainer();
    List<String> files = arguments.getList(FILES);
    try {
      if (files.isEmpty()) {
        explanation.readLog(
            new BufferedReader(new InputStreamReader(standardInput, StandardCharsets.UTF_8)));
      }
      for (String file : files) {
        try (BufferedReader reader = Files.newBufferedReader(Path.of(file))) {
          explanation.readLog(reader);
        }
      }
    } catch (IOException e) {
      throw new ProgramException(ExitCode.USAGE, "can't read a log: " + e.getMessage(), e);
    }
    String request = arguments.getString(REQUEST);
    context.out().print(explanation.explain(request));
    return explanation.hasLinesAbout(request) ? ExitCode.OK : ExitCode.NOT_FOUND;
  }
}
