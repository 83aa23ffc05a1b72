package org.teaseltrail.cli;

import java.util.Locale;
import java.util.Optional;
import net.sourceforge.argparse4j.inf.Namespace;
import net.sourceforge.argparse4j.inf.Subparser;
import net.sourceforge.argparse4j.inf.Subparsers;
import org.teaseltrail.api.v1.Decision;
import org.teaseltrail.api.v1.Decisions;
import org.teaseltrail.api.v1.ListDecisionsRequest;
import org.teaseltrail.api.v1.ListDecisionsResponse;
import org.teaseltrail.runtime.process.ExitCode;
import org.teaseltrail.runtime.process.ProgramException;

/** Command that lists the most recent scheduling decisions. */
final class DecisionsCommand implements Command {

  private static final int DEFAULT_LIMIT = 20;

  private DecisionsCommand() {}

  static void add(Subparsers commands) {
    Subparser parser =
        commands.addParser("decisions").help("list the newest decisions").defaultHelp(true);
    parser
        .addArgument("--limit")
        .type(Integer.class)
        .setDefault(DEFAULT_LIMIT)
        .metavar("N")
        .help("how many at most; 0 for all that are kept");
    parser.addArgument("--request").metavar("ID").help("only those of this request");
    parser.addArgument("--customer").metavar("CUSTOMER").help("only those of this customer");
    parser.setDefault(Command.KEY, new DecisionsCommand());
  }

  @Override
  public ExitCode run(CommandContext context, Namespace arguments) throws ProgramException {
    ListDecisionsRequest request = request(arguments);
    Decisions decisions =
        context
            .client()
            .call(
                stub -> stub.listDecisions(request),
                (ListDecisionsResponse response) ->
                    response.hasNotLeader()
                        ? Optional.of(response.getNotLeader())
                        : Optional.empty())
            .getDecisions();
    context.print(decisions, () -> table(decisions));
    return ExitCode.OK;
  }

  private static ListDecisionsRequest request(Namespace arguments) {
    ListDecisionsRequest.Builder request =
        ListDecisionsRequest.newBuilder().setLimit(arguments.getInt("limit"));
    Optional.ofNullable(arguments.getString("request")).ifPresent(request::setRequestId);
    Optional.ofNullable(arguments.getString("customer")).ifPresent(request::setCustomer);
    return request.build();
  }

  private static String table(Decisions decisions) {
    TextTable table =
        new TextTable("MS AGO", "DECISION", "REQUEST", "CUSTOMER", "TIER", "UPSTREAM", "REASON");
    for (Decision decision : decisions.getDecisionsList()) {
      table.addRow(
          decision.getAgeMs(),
          decision.getKind().name().toLowerCase(Locale.ROOT),
          decision.getRequestId(),
          decision.getCustomer(),
          decision.hasTier() ? decision.getTier() : "",
          decision.getUpstream(),
          decision.getReason());
    }
    return table.print();
  }
}
