package org.teaseltrail.cli;

import java.io.PrintStream;
import java.io.PrintWriter;
import java.net.InetSocketAddress;
import java.nio.charset.StandardCharsets;
import java.util.List;
import net.sourceforge.argparse4j.helper.HelpScreenException;
import net.sourceforge.argparse4j.inf.ArgumentParser;
import net.sourceforge.argparse4j.inf.ArgumentParserException;
import net.sourceforge.argparse4j.inf.Namespace;
import org.teaseltrail.runtime.process.ExitCode;
import org.teaseltrail.runtime.process.ProgramException;
import org.teaseltrail.runtime.settings.InvalidSettingValueException;
import org.teaseltrail.runtime.settings.ValueKinds;

/** Parses a command line and runs its command. */
final class CommandLine {

  private final PrintStream out;
  private final PrintStream err;
  private final ChannelFactory channels;
  private final RetryClock clock;

  /**
   * Creates a command line.
   *
   * @param out the stream for responses
   * @param err the stream for error messages
   * @param channels opens channels to control members
   * @param clock the clock for timeouts and retries
   */
  CommandLine(PrintStream out, PrintStream err, ChannelFactory channels, RetryClock clock) {
    this.out = out;
    this.err = err;
    this.channels = channels;
    this.clock = clock;
  }

  /**
   * Runs a command.
   *
   * @param args the command line
   * @return its exit code
   */
  ExitCode run(String... args) {
    ArgumentParser parser = CommandTree.parser();
    try {
      return execute(parser.parseArgs(args));
    } catch (HelpScreenException e) {
      return ExitCode.OK;
    } catch (ArgumentParserException e) {
      parser.handleError(e, new PrintWriter(err, true, StandardCharsets.UTF_8));
      return ExitCode.USAGE;
    } catch (ProgramException e) {
      err.println("teaseltrail: " + e.getMessage());
      return e.exitCode();
    }
  }

  private ExitCode execute(Namespace arguments) throws ProgramException {
    Command command = arguments.get(Command.KEY);
    OutputFormat format = arguments.get("output");
    long timeoutMs = arguments.getLong("timeout_ms");
    try (OperatorClient client =
        new OperatorClient(servers(arguments), channels, clock, timeoutMs)) {
      return command.run(new CommandContext(client, format, out, err), arguments);
    }
  }

  private static List<InetSocketAddress> servers(Namespace arguments) throws ProgramException {
    try {
      return ValueKinds.list(ValueKinds.address()).parse(arguments.getString("server"));
    } catch (InvalidSettingValueException e) {
      throw new ProgramException(ExitCode.USAGE, "--server: " + e.getMessage(), e);
    }
  }
}
