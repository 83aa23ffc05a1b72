package org.teaseltrail.cli;

import java.util.Locale;
import java.util.Optional;
import net.sourceforge.argparse4j.impl.Arguments;
import net.sourceforge.argparse4j.inf.Namespace;
import net.sourceforge.argparse4j.inf.Subparser;
import net.sourceforge.argparse4j.inf.Subparsers;
import org.teaseltrail.api.v1.ModelTarget;
import org.teaseltrail.api.v1.OrderEngineRequest;
import org.teaseltrail.api.v1.OrderEngineResponse;
import org.teaseltrail.api.v1.OrderRejected;
import org.teaseltrail.runtime.process.ExitCode;
import org.teaseltrail.runtime.process.ProgramException;

/** Command that sends an order to an engine. */
final class OrderCommand implements Command {

  private OrderCommand() {}

  static void add(Subparsers commands) {
    Subparser parser =
        commands
            .addParser("order")
            .help("order an engine to load a model or adapter, or to change its role")
            .defaultHelp(true);
    parser.addArgument("upstream").metavar("UPSTREAM").help("which engine");
    parser
        .addArgument("order")
        .type(Arguments.caseInsensitiveEnumStringType(EngineOrder.class))
        .help("what it is to do");
    parser.addArgument("--model").metavar("MODEL").help("the model");
    parser.addArgument("--model-version").metavar("VERSION").help("its version");
    parser.addArgument("--adapter").metavar("ADAPTER").help("the adapter");
    parser.addArgument("--role").metavar("ROLE").help("the role to take");
    parser.setDefault(Command.KEY, new OrderCommand());
  }

  @Override
  public ExitCode run(CommandContext context, Namespace arguments) throws ProgramException {
    OrderEngineRequest.Builder request =
        OrderEngineRequest.newBuilder().setUpstream(arguments.getString("upstream"));
    EngineOrder order = arguments.get("order");
    order.fill(request, target(arguments), text(arguments, "role"));
    OrderEngineResponse response =
        context
            .client()
            .call(
                stub -> stub.orderEngine(request.build()),
                a -> a.hasNotLeader() ? Optional.of(a.getNotLeader()) : Optional.empty());
    return printResult(context, response);
  }

  private static ModelTarget target(Namespace arguments) {
    ModelTarget.Builder target =
        ModelTarget.newBuilder()
            .setModel(text(arguments, "model"))
            .setVersion(text(arguments, "model_version"));
    Optional.ofNullable(arguments.getString("adapter")).ifPresent(target::setAdapter);
    return target.build();
  }

  private static String text(Namespace arguments, String key) {
    return Optional.ofNullable(arguments.getString(key)).orElse("");
  }

  private static ExitCode printResult(CommandContext context, OrderEngineResponse response) {
    if (response.hasAccepted()) {
      long fencingNumber = response.getAccepted().getFencingNumber();
      context.print(response, () -> "taken under fencing number " + fencingNumber + "\n");
      return ExitCode.OK;
    }
    if (response.hasRejected()) {
      OrderRejected.Reason reason = response.getRejected().getReason();
      String words = reason.name().toLowerCase(Locale.ROOT).replace('_', ' ');
      context.printFailure(response, "rejected: " + words);
      return exitCode(reason);
    }
    context.printFailure(response, "not known whether the engine took the order");
    return ExitCode.TIMEOUT;
  }

  private static ExitCode exitCode(OrderRejected.Reason reason) {
    return switch (reason) {
      case UNKNOWN_UPSTREAM -> ExitCode.NOT_FOUND;
      case SILENT_UPSTREAM -> ExitCode.UNAVAILABLE;
      case FENCED -> ExitCode.CONFLICT;
      default -> ExitCode.INVALID;
    };
  }
}
