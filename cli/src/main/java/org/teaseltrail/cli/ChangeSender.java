package org.teaseltrail.cli;

import java.util.Optional;
import java.util.UUID;
import net.sourceforge.argparse4j.inf.Namespace;
import org.teaseltrail.api.v1.ApplyChangeRequest;
import org.teaseltrail.api.v1.ApplyChangeResponse;
import org.teaseltrail.api.v1.AwaitInForceRequest;
import org.teaseltrail.api.v1.AwaitInForceResponse;
import org.teaseltrail.api.v1.Change;
import org.teaseltrail.api.v1.NotLeader;
import org.teaseltrail.runtime.process.ExitCode;
import org.teaseltrail.runtime.process.ProgramException;

/** Sends a change, again if need be, and tells what became of it. */
final class ChangeSender {

  private static final long RESEND_PAUSE_MS = 200;
  private static final int POLL_MS = 1_000;
  private static final long POLL_PAUSE_MS = 50;
  private static final long NS_PER_MS = 1_000_000;

  private final CommandContext context;
  private final Namespace arguments;

  ChangeSender(CommandContext context, Namespace arguments) {
    this.context = context;
    this.arguments = arguments;
  }

  /**
   * Sends one item as a change of its own.
   *
   * @param item the item
   * @return the exit code
   * @throws ProgramException if no leader answers
   */
  ExitCode send(Change item) throws ProgramException {
    return send(ApplyChangeRequest.newBuilder().addChanges(item));
  }

  /**
   * Sends a change. Arguments of the command line go before what the change holds.
   *
   * @param change the change; gets a fresh id if it has none
   * @return the exit code
   * @throws ProgramException if no leader answers
   */
  ExitCode send(ApplyChangeRequest.Builder change) throws ProgramException {
    fill(change);
    ApplyChangeResponse answer = sendUntilKnown(change.build());
    if (!answer.hasAccepted()) {
      ChangeFailure failure = ChangeFailure.of(answer);
      context.showFailure(answer, failure.sentence() + " (change id " + change.getChangeId() + ")");
      return failure.exitCode();
    }
    long revision = answer.getAccepted().getRevision();
    context.show(
        answer,
        () -> "accepted: revision " + revision + ", change id " + change.getChangeId() + "\n");
    return arguments.getBoolean(ChangeArguments.WAIT) ? await(revision) : ExitCode.OK;
  }

  private void fill(ApplyChangeRequest.Builder change) {
    String changeId = arguments.getString(ChangeArguments.CHANGE_ID);
    if (changeId != null) {
      change.setChangeId(changeId);
    } else if (change.getChangeId().isEmpty()) {
      change.setChangeId(UUID.randomUUID().toString());
    }
    Long expected = arguments.getLong(ChangeArguments.EXPECTED_REVISION);
    if (expected != null) {
      change.setExpectedRevision(expected);
    }
  }

  // A leader that loses its lease can't tell whether the change will be accepted. The change id
  // makes the resend safe: a change that was accepted gives its first result again.
  private ApplyChangeResponse sendUntilKnown(ApplyChangeRequest change) throws ProgramException {
    long deadlineNs = deadlineNs();
    while (true) {
      ApplyChangeResponse answer =
          context.client().call(stub -> stub.applyChange(change), ChangeSender::notLeader);
      if (!answer.hasOutcomeUnknown() || context.client().pause().nowNs() >= deadlineNs) {
        return answer;
      }
      context.client().pause().pauseMs(RESEND_PAUSE_MS);
    }
  }

  private ExitCode await(long revision) throws ProgramException {
    long deadlineNs = deadlineNs();
    AwaitInForceRequest request =
        AwaitInForceRequest.newBuilder().setRevision(revision).setWaitMs(POLL_MS).build();
    while (true) {
      AwaitInForceResponse answer =
          context
              .client()
              .call(
                  stub -> stub.awaitInForce(request),
                  a -> a.hasNotLeader() ? Optional.of(a.getNotLeader()) : Optional.empty());
      if (answer.getInForce().getEverywhere()) {
        context.show(answer, () -> "in force on every entry VM\n");
        return ExitCode.OK;
      }
      if (context.client().pause().nowNs() >= deadlineNs) {
        context.showFailure(
            answer,
            "revision "
                + revision
                + " is accepted but not yet in force on "
                + answer.getInForce().getWaitingForVmsList());
        return ExitCode.TIMEOUT;
      }
      context.client().pause().pauseMs(POLL_PAUSE_MS);
    }
  }

  private long deadlineNs() {
    return context.client().pause().nowNs() + context.client().timeoutMs() * NS_PER_MS;
  }

  private static Optional<NotLeader> notLeader(ApplyChangeResponse answer) {
    return answer.hasNotLeader() ? Optional.of(answer.getNotLeader()) : Optional.empty();
  }
}
