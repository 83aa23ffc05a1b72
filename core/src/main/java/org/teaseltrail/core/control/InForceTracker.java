package org.teaseltrail.core.control;

import java.util.ArrayList;
import java.util.List;
import java.util.OptionalLong;
import org.teaseltrail.core.id.Revision;
import org.teaseltrail.core.id.VmId;
import org.teaseltrail.core.session.SessionRegistry;

/**
 * Answers operators who wait until a configuration is in force everywhere. It is once each VM with
 * a session has applied it: a VM without one admits no request.
 */
final class InForceTracker {

  private static final long NS_PER_MS = 1_000_000L;

  private record Wait(long callId, Revision revision, List<VmId> waitedFor, long endsAtNs) {}

  private final ActionBuffer out;
  private final SessionRegistry sessions;
  private final List<Wait> waits = new ArrayList<>();

  InForceTracker(ActionBuffer out, SessionRegistry sessions) {
    this.out = out;
    this.sessions = sessions;
  }

  void await(long callId, OperatorRequest.AwaitInForce request, long nowNs) {
    List<VmId> waitedFor = sessions.findLagging(request.revision());
    long endsAtNs = nowNs + request.timeoutMs() * NS_PER_MS;
    waits.add(new Wait(callId, request.revision(), waitedFor, endsAtNs));
    replyIfDue(nowNs);
  }

  /** Answers the waits that are over. */
  void replyIfDue(long nowNs) {
    waits.removeIf(wait -> answered(wait, nowNs));
  }

  void end() {
    waits.forEach(wait -> out.reply(wait.callId(), new OperatorResult.OutcomeIndeterminate()));
    waits.clear();
  }

  OptionalLong nextWakeupNs() {
    return waits.stream().mapToLong(Wait::endsAtNs).min();
  }

  private boolean answered(Wait wait, long nowNs) {
    List<VmId> missing = sessions.findLagging(wait.revision());
    if (missing.isEmpty() && sessions.havePriorSessionsExpired(nowNs)) {
      out.reply(wait.callId(), new OperatorResult.InForce(wait.revision(), wait.waitedFor()));
      return true;
    }
    if (nowNs >= wait.endsAtNs()) {
      out.reply(wait.callId(), new OperatorResult.NotInForce(wait.revision(), missing));
      return true;
    }
    return false;
  }
}
