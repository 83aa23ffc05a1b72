package org.teaseltrail.cli;

import java.util.Optional;
import net.sourceforge.argparse4j.impl.Arguments;
import net.sourceforge.argparse4j.inf.Namespace;
import net.sourceforge.argparse4j.inf.Subparser;
import net.sourceforge.argparse4j.inf.Subparsers;
import org.teaseltrail.api.v1.GetStatusRequest;
import org.teaseltrail.api.v1.GetStatusResponse;
import org.teaseltrail.api.v1.Status;
import org.teaseltrail.runtime.process.ExitCode;
import org.teaseltrail.runtime.process.ProgramException;

/** Commands that show the state of the system and of its pools. */
final class StatusCommands {

  private static final String LOCAL = "local";

  private StatusCommands() {}

  static void add(Subparsers commands) {
    Command status = (context, arguments) -> show(context, arguments, StatusFormatter::whole);
    Subparser parser =
        commands.addParser("status").help("tell members, sessions, pools and upstreams");
    parser
        .addArgument("--local")
        .action(Arguments.storeTrue())
        .help("ask the first server of itself only, leader or not");
    parser.setDefault(Command.KEY, status);
    Command pools = (context, arguments) -> show(context, arguments, StatusFormatter::pools);
    commands
        .addParser("pools")
        .help("tell what waits by tier and what runs in each pool")
        .setDefault(LOCAL, false)
        .setDefault(Command.KEY, pools);
  }

  /** Fetches the status from the leader, or from the first server if {@code local} is set. */
  static Status fetch(CommandContext context, boolean local) throws ProgramException {
    GetStatusRequest request = GetStatusRequest.newBuilder().setLocal(local).build();
    return context
        .client()
        .call(
            stub -> stub.getStatus(request),
            (GetStatusResponse response) ->
                response.hasNotLeader() ? Optional.of(response.getNotLeader()) : Optional.empty())
        .getStatus();
  }

  private static ExitCode show(
      CommandContext context, Namespace arguments, SectionFormatter formatter)
      throws ProgramException {
    Status status = fetch(context, arguments.getBoolean(LOCAL));
    context.print(status, () -> formatter.print(status));
    return ExitCode.OK;
  }

  /** Formats a part of the status. */
  private interface SectionFormatter {

    String print(Status status);
  }
}
