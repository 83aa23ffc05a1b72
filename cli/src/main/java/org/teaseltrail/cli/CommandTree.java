package org.teaseltrail.cli;

import net.sourceforge.argparse4j.ArgumentParsers;
import net.sourceforge.argparse4j.impl.Arguments;
import net.sourceforge.argparse4j.inf.ArgumentParser;
import net.sourceforge.argparse4j.inf.Subparsers;

/** Declares all commands and the global options. */
final class CommandTree {

  private static final String DEFAULT_SERVER = "127.0.0.1:7201";
  private static final long DEFAULT_TIMEOUT_MS = 10_000;

  private CommandTree() {}

  /**
   * Returns the argument parser; its result holds the selected {@link Command} under {@link
   * Command#KEY}.
   */
  static ArgumentParser parser() {
    ArgumentParser parser =
        ArgumentParsers.newFor("teaseltrail")
            .build()
            .defaultHelp(true)
            .description("Tells and changes the state of teaseltrail's control members.")
            .version("teaseltrail " + CommandTree.class.getPackage().getImplementationVersion());
    parser.addArgument("--version").action(Arguments.version()).help("show the version and end");
    parser
        .addArgument("--server")
        .metavar("IP:PORT,...")
        .setDefault(DEFAULT_SERVER)
        .help("where control members serve operators; the leader among them is found");
    parser
        .addArgument("--output")
        .type(Arguments.caseInsensitiveEnumType(OutputFormat.class))
        .setDefault(OutputFormat.TEXT)
        .help("how answers are printed");
    parser
        .addArgument("--timeout-ms")
        .type(Long.class)
        .choices(Arguments.range(1L, 3_600_000L))
        .setDefault(DEFAULT_TIMEOUT_MS)
        .help("how long to look for a leader that answers");
    Subparsers commands = parser.addSubparsers().title("commands").metavar("COMMAND");
    new TierCommands().add(commands);
    new CustomerCommands().add(commands);
    new PoolCommands().add(commands);
    new RouteCommands().add(commands);
    new UpstreamCommands().add(commands);
    ApplyCommand.add(commands);
    StatusCommands.add(commands);
    DecisionsCommand.add(commands);
    ExplainCommand.add(commands);
    MembersCommands.add(commands);
    OrderCommand.add(commands);
    return parser;
  }
}
