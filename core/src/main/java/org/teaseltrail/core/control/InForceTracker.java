package org.teaseltrail.core.control;

import java.util.ArrayList;
import java.util.List;
import java.util.OptionalLong;
import org.teaseltrail.core.id.Revision;
import org.teaseltrail.core.id.VmId;
import org.teaseltrail.core.session.SessionRegistry;

/**
 * Tracks operators' requests that wait until a configuration is in force everywhere, and answers
 * them. A configuration is in force once each VM with a session has applied it: a VM without a
 * session admits no request.
 */
final class InForceTracker {

  private static final long NS_PER_MS = 1_000_000L;

  private record PendingWait(
      long callId, Revision revision, List<VmId> initiallyPending, long deadlineNs) {}

  private final ActionBuffer actions;
  private final SessionRegistry sessions;
  private final List<PendingWait> pendingWaits = new ArrayList<>();

  InForceTracker(ActionBuffer actions, SessionRegistry sessions) {
    this.actions = actions;
    this.sessions = sessions;
  }

  void await(long callId, OperatorRequest.AwaitInForce request, long nowNs) {
    List<VmId> initiallyPending = sessions.findLagging(request.revision());
    long deadlineNs = nowNs + request.timeoutMs() * NS_PER_MS;
    pendingWaits.add(new PendingWait(callId, request.revision(), initiallyPending, deadlineNs));
    replyIfDue(nowNs);
  }

  /** Answers the requests whose configuration is in force or whose timeout has passed. */
  void replyIfDue(long nowNs) {
    pendingWaits.removeIf(wait -> tryReply(wait, nowNs));
  }

  void end() {
    pendingWaits.forEach(
        wait -> actions.reply(wait.callId(), new OperatorResult.OutcomeIndeterminate()));
    pendingWaits.clear();
  }

  OptionalLong nextWakeupNs() {
    return pendingWaits.stream().mapToLong(PendingWait::deadlineNs).min();
  }

  private boolean tryReply(PendingWait wait, long nowNs) {
    List<VmId> missing = sessions.findLagging(wait.revision());
    if (missing.isEmpty() && sessions.havePriorSessionsExpired(nowNs)) {
      actions.reply(
          wait.callId(), new OperatorResult.InForce(wait.revision(), wait.initiallyPending()));
      return true;
    }
    if (nowNs >= wait.deadlineNs()) {
      actions.reply(wait.callId(), new OperatorResult.NotInForce(wait.revision(), missing));
      return true;
    }
    return false;
  }
}
