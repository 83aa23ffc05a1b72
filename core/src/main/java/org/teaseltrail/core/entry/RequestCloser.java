package org.teaseltrail.core.entry;

import org.teaseltrail.core.message.EndKind;
import org.teaseltrail.core.message.EntryMessage;
import org.teaseltrail.core.message.Usage;
import org.teaseltrail.core.message.WithdrawReason;
import org.teaseltrail.core.request.FailureReason;
import org.teaseltrail.core.request.NotRunReason;
import org.teaseltrail.core.request.Outcome;
import org.teaseltrail.core.request.Request;
import org.teaseltrail.core.request.UpstreamTarget;

/** Ends requests, and reports each end to the caller, the scheduler and the log. */
final class RequestCloser {

  private final EntryComponents parts;

  RequestCloser(EntryComponents parts) {
    this.parts = parts;
  }

  /** Ends a request that did not run and that the scheduler no longer has. */
  void notRun(Request request, NotRunReason reason, long retryAfterMs) {
    conclude(request, new Outcome.NotRun(reason, retryAfterMs));
    parts.actions.log(EntryDecisionKind.REFUSE, request, "reason=" + reason.problemName());
  }

  /** Ends a request that did not run, and withdraws its ticket from the scheduler. */
  void withdraw(Request request, WithdrawReason withdrawal, NotRunReason reason, long retryMs) {
    if (request.target().isPresent()) {
      parts.actions.add(new EntryAction.CloseUpstream(request.id()));
    }
    parts.session.sendToLeader(new EntryMessage.Withdraw(request.id(), withdrawal));
    notRun(request, reason, retryMs);
  }

  void completed(Request request, Usage usage, long nowNs) {
    int outputTokens = usage.outputTokens();
    parts.estimator.recordAnswer(
        request.ticket().customer(), request.ticket().route(), outputTokens);
    parts.quarantine.onCompleted(request, nowNs);
    ended(request, EndKind.COMPLETED, usage, new Outcome.Completed(usage), nowNs);
  }

  void failed(Request request, FailureReason reason, long nowNs) {
    parts.actions.add(new EntryAction.CloseUpstream(request.id()));
    ended(request, EndKind.FAILED, request.usageSoFar(), request.failure(reason), nowNs);
  }

  /**
   * Ends a dispatched request before its answer is complete, and cancels it at its upstream. The
   * upstream is not cancelled for a stream that was taken over; only this VM's connection is
   * closed.
   */
  void cancelled(Request request, FailureReason reason, long nowNs) {
    UpstreamTarget target = request.target().orElseThrow();
    parts.actions.add(
        request.isAdopted()
            ? new EntryAction.CloseUpstream(request.id())
            : new EntryAction.CancelUpstream(request.id(), target));
    ended(request, EndKind.CANCELLED, request.usageSoFar(), request.failure(reason), nowNs);
  }

  private void ended(Request request, EndKind kind, Usage usage, Outcome outcome, long nowNs) {
    if (!request.isAdopted() || kind == EndKind.COMPLETED) {
      parts.endedReports.send(
          new EntryMessage.Ended(
              request.stream(),
              request.target().orElseThrow().upstream(),
              kind,
              usage,
              request.sinceDispatchMs(nowNs)));
    }
    conclude(request, outcome);
    parts.actions.log(EntryDecisionKind.END, request, describe(outcome, usage, request, nowNs));
  }

  private static String describe(Outcome outcome, Usage usage, Request request, long nowNs) {
    return "outcome="
        + outcome.getClass().getSimpleName()
        + " ran="
        + outcome.ran().text()
        + " prompt_tokens="
        + usage.promptTokens()
        + " cached_tokens="
        + usage.cachedTokens()
        + " output_tokens="
        + usage.outputTokens()
        + " since_dispatch_ms="
        + request.sinceDispatchMs(nowNs);
  }

  void conclude(Request request, Outcome outcome) {
    request.end(outcome);
    parts.quarantine.onEnded(request.id());
    parts.timers.cancel(TimerQueue.deadline(request.deadlineNs(), request.id()));
    parts.requests.moveToEnded(request);
    parts.actions.add(new EntryAction.Conclude(request.id(), outcome));
  }
}
