package org.teaseltrail.cli;

import java.util.List;
import java.util.Locale;
import java.util.Optional;
import java.util.function.Function;
import net.sourceforge.argparse4j.inf.Namespace;
import net.sourceforge.argparse4j.inf.Subparser;
import net.sourceforge.argparse4j.inf.Subparsers;
import org.teaseltrail.api.v1.AddLearner;
import org.teaseltrail.api.v1.ChangeMembersRequest;
import org.teaseltrail.api.v1.ChangeMembersResponse;
import org.teaseltrail.api.v1.Member;
import org.teaseltrail.api.v1.MemberChangeRejected;
import org.teaseltrail.api.v1.Status;
import org.teaseltrail.runtime.process.ExitCode;
import org.teaseltrail.runtime.process.ProgramException;

/** Commands that list and change the control members. */
final class MembersCommands {

  private static final String MEMBER = "member";

  private MembersCommands() {}

  static void add(Subparsers commands) {
    Subparser group = commands.addParser("members").help("list and change control members");
    Subparsers actions = group.addSubparsers().metavar("ACTION");
    Command list = (context, arguments) -> list(context);
    actions.addParser("list").help("list all").setDefault(Command.KEY, list);
    step(actions, "add", "let a new member follow without a vote", MembersCommands::addLearner)
        .addArgument("--vm")
        .required(true)
        .metavar("VM")
        .help("the VM it runs on");
    step(
        actions,
        "promote",
        "give a member that has caught up a vote",
        arguments -> builder().setPromote(arguments.getString(MEMBER)));
    step(
        actions,
        "remove",
        "take a member out of the group",
        arguments -> builder().setRemove(arguments.getString(MEMBER)));
    step(
        actions,
        "transfer",
        "hand leadership to a member",
        arguments -> builder().setTransfer(arguments.getString(MEMBER)));
  }

  private static Subparser step(
      Subparsers actions,
      String name,
      String help,
      Function<Namespace, ChangeMembersRequest.Builder> requestFactory) {
    Command command =
        (context, arguments) -> change(context, requestFactory.apply(arguments).build());
    Subparser parser = actions.addParser(name).help(help);
    parser.addArgument(MEMBER).metavar("MEMBER").help("which member");
    return parser.setDefault(Command.KEY, command);
  }

  private static ChangeMembersRequest.Builder builder() {
    return ChangeMembersRequest.newBuilder();
  }

  private static ChangeMembersRequest.Builder addLearner(Namespace arguments) {
    AddLearner learner =
        AddLearner.newBuilder()
            .setId(arguments.getString(MEMBER))
            .setVm(arguments.getString("vm"))
            .build();
    return builder().setAddLearner(learner);
  }

  private static ExitCode list(CommandContext context) throws ProgramException {
    Status status = StatusCommands.fetch(context, false);
    Status members = Status.newBuilder().addAllMembers(status.getMembersList()).build();
    context.print(members, () -> StatusFormatter.members(status.getMembersList()));
    return ExitCode.OK;
  }

  private static ExitCode change(CommandContext context, ChangeMembersRequest request)
      throws ProgramException {
    ChangeMembersResponse response =
        context
            .client()
            .call(
                stub -> stub.changeMembers(request),
                a -> a.hasNotLeader() ? Optional.of(a.getNotLeader()) : Optional.empty());
    if (response.hasChanged()) {
      context.print(response, () -> formatChangeResult(response.getChanged().getMembersList()));
      return ExitCode.OK;
    }
    if (response.hasRejected()) {
      MemberChangeRejected.Reason reason = response.getRejected().getReason();
      String words = reason.name().toLowerCase(Locale.ROOT).replace('_', ' ');
      context.printFailure(response, "rejected: " + words);
      return exitCode(reason);
    }
    context.printFailure(response, "not known whether it is done; see 'members list'");
    return ExitCode.TIMEOUT;
  }

  // When a leadership transfer is answered, it has only started, and it changes no member.
  private static String formatChangeResult(List<Member> members) {
    return members.isEmpty() ? "begun; see 'status'\n" : StatusFormatter.members(members);
  }

  private static ExitCode exitCode(MemberChangeRejected.Reason reason) {
    return switch (reason) {
      case UNKNOWN_MEMBER -> ExitCode.NOT_FOUND;
      case MEMBERSHIP_CHANGE_PENDING, LEARNER_NOT_CAUGHT_UP, ALREADY_MEMBER -> ExitCode.CONFLICT;
      case LEADER_NOT_READY, HANDING_OVER, TOO_MUCH_UNCOMMITTED -> ExitCode.UNAVAILABLE;
      default -> ExitCode.INVALID;
    };
  }
}
