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

/**
 * Sends a configuration change to the leader, retries it until its outcome is known and prints the
 * result.
 */
final class ChangeSender {

  private static final long RETRY_DELAY_MS = 200;
  private static final int SERVER_WAIT_MS = 1_000;
  private static final long POLL_DELAY_MS = 50;
  private static final long NS_PER_MS = 1_000_000;

  private final CommandContext context;
  private final Namespace arguments;

  ChangeSender(CommandContext context, Namespace arguments) {
    this.context = context;
    this.arguments = arguments;
  }

  /**
   * Sends a change with a single item.
   *
   * @param item the item
   * @return the exit code
   * @throws ProgramException if no leader answers
   */
  ExitCode send(Change item) throws ProgramException {
    return send(ApplyChangeRequest.newBuilder().addChanges(item));
  }

  /**
   * Sends a change. Command-line arguments take precedence over the fields of the change.
   *
   * @param change the change; receives a new id if it has none
   * @return the exit code
   * @throws ProgramException if no leader answers
   */
  ExitCode send(ApplyChangeRequest.Builder change) throws ProgramException {
    applyArguments(change);
    ApplyChangeResponse response = sendUntilOutcomeKnown(change.build());
    if (!response.hasAccepted()) {
      ChangeFailure failure = ChangeFailure.of(response);
      context.printFailure(
          response, failure.message() + " (change id " + change.getChangeId() + ")");
      return failure.exitCode();
    }
    long revision = response.getAccepted().getRevision();
    context.print(
        response,
        () -> "accepted: revision " + revision + ", change id " + change.getChangeId() + "\n");
    return arguments.getBoolean(ChangeArguments.WAIT) ? awaitInForce(revision) : ExitCode.OK;
  }

  private void applyArguments(ApplyChangeRequest.Builder change) {
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

  // A leader that loses its lease can't determine whether the change will be accepted. A retry is
  // safe because it has the same change id: for a change that was already accepted, the leader
  // returns the first result again.
  private ApplyChangeResponse sendUntilOutcomeKnown(ApplyChangeRequest change)
      throws ProgramException {
    long deadlineNs = deadlineNs();
    while (true) {
      ApplyChangeResponse response =
          context.client().call(stub -> stub.applyChange(change), ChangeSender::notLeader);
      if (!response.hasOutcomeUnknown() || context.client().clock().nowNs() >= deadlineNs) {
        return response;
      }
      context.client().clock().sleepMs(RETRY_DELAY_MS);
    }
  }

  private ExitCode awaitInForce(long revision) throws ProgramException {
    long deadlineNs = deadlineNs();
    AwaitInForceRequest request =
        AwaitInForceRequest.newBuilder().setRevision(revision).setWaitMs(SERVER_WAIT_MS).build();
    while (true) {
      AwaitInForceResponse response =
          context
              .client()
              .call(
                  stub -> stub.awaitInForce(request),
                  a -> a.hasNotLeader() ? Optional.of(a.getNotLeader()) : Optional.empty());
      if (response.getInForce().getEverywhere()) {
        context.print(response, () -> "in force on every entry VM\n");
        return ExitCode.OK;
      }
      if (context.client().clock().nowNs() >= deadlineNs) {
        context.printFailure(
            response,
            "revision "
                + revision
                + " is accepted but not yet in force on "
                + response.getInForce().getWaitingForVmsList());
        return ExitCode.TIMEOUT;
      }
      context.client().clock().sleepMs(POLL_DELAY_MS);
    }
  }

  private long deadlineNs() {
    return context.client().clock().nowNs() + context.client().timeoutMs() * NS_PER_MS;
  }

  private static Optional<NotLeader> notLeader(ApplyChangeResponse response) {
    return response.hasNotLeader() ? Optional.of(response.getNotLeader()) : Optional.empty();
  }
}
