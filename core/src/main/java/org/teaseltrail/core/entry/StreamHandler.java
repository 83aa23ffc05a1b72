package org.teaseltrail.core.entry;

import java.util.Optional;
import org.teaseltrail.core.message.ClaimState;
import org.teaseltrail.core.message.EntryMessage;
import org.teaseltrail.core.message.RequestKind;
import org.teaseltrail.core.message.Usage;
import org.teaseltrail.core.request.FailureReason;
import org.teaseltrail.core.request.FrameDisposition;
import org.teaseltrail.core.request.Millis;
import org.teaseltrail.core.request.Request;
import org.teaseltrail.core.request.RequestState;
import org.teaseltrail.core.request.StreamFrame;
import org.teaseltrail.core.request.UpstreamTarget;

/** Handles the frames of an answer, from the first one to the end frame. */
final class StreamHandler {

  private final EntryComponents parts;
  private final RequestCloser closer;

  StreamHandler(EntryComponents parts, RequestCloser closer) {
    this.parts = parts;
    this.closer = closer;
  }

  void frame(Request request, StreamFrame frame, long nowNs) {
    if (!request.state().isDispatched()) {
      return;
    }
    boolean first = request.state() == RequestState.DISPATCHED;
    FrameDisposition verdict = request.accept(frame);
    if (verdict == FrameDisposition.NEXT) {
      parts.quarantine.onFrame(request, nowNs);
      reportFirstToken(request, first, nowNs);
      handleNext(request, frame, nowNs);
      return;
    }
    parts.actions.log(
        EntryDecisionKind.DROP, request, "frame=" + frame.sequence() + " verdict=" + verdict);
    if (verdict.requiresReconnect()) {
      broken(request, nowNs);
    }
  }

  private void reportFirstToken(Request request, boolean first, long nowNs) {
    if (first) {
      parts.session.sendToLeader(
          new EntryMessage.FirstToken(
              request.id(),
              request.target().orElseThrow().upstream(),
              request.sinceDispatchMs(nowNs)));
    }
  }

  private void handleNext(Request request, StreamFrame frame, long nowNs) {
    if (frame instanceof StreamFrame.Text text) {
      parts.actions.add(new EntryAction.Deliver(request.id(), text));
      reportProgress(request, nowNs);
    } else if (frame instanceof StreamFrame.End end) {
      closer.completed(request, end.usage(), nowNs);
    } else {
      closer.failed(request, FailureReason.UPSTREAM_FAILED, nowNs);
    }
  }

  private void reportProgress(Request request, long nowNs) {
    long intervalNs = Millis.toNanos(parts.settings.progressIntervalMs());
    if (!request.isAdopted() && request.isProgressDue(nowNs, intervalNs)) {
      parts.session.sendToLeader(
          new EntryMessage.Progress(
              request.id(),
              request.target().orElseThrow().upstream(),
              request.usageSoFar().outputTokens()));
    }
  }

  /**
   * Resumes a stream whose connection ended without an end frame, or delivered invalid frames.
   *
   * <p>Without resumption, a connection that breaks would deliver a truncated answer that looks
   * complete, and sending the request again could run it twice. Instead, the VM requests the
   * remaining frames from the same upstream by sequence number. The number of attempts is limited;
   * after the last one, the caller is informed that the request may have run.
   */
  void broken(Request request, long nowNs) {
    if (!request.state().isDispatched()) {
      return;
    }
    parts.actions.add(new EntryAction.CloseUpstream(request.id()));
    final boolean wasResumed = request.resumesWithoutProgress() > 0;
    boolean canResume = request.tryResume();
    if (wasResumed || !canResume) {
      parts.quarantine.onUnreachable(request, nowNs);
    }
    if (!canResume) {
      closer.failed(request, FailureReason.STREAM_BROKEN, nowNs);
      return;
    }
    int doublings = request.resumesWithoutProgress() - 1;
    long backoffNs = Millis.toNanos(parts.settings.resumeBackoffMs()) << doublings;
    parts.timers.add(
        new TimerQueue.Timer(
            nowNs + backoffNs, TimerQueue.Kind.RESUME, request.id(), request.attempt()));
  }

  /** Requests the rest of a stream after the backoff. */
  void resume(Request request) {
    UpstreamTarget target = request.target().orElseThrow();
    parts.actions.add(
        new EntryAction.Resume(
            request.id(), request.attempt(), request.stream(), target, request.nextSequence()));
    parts.actions.log(
        EntryDecisionKind.RESUME,
        request,
        "from=" + request.nextSequence() + " try=" + request.resumesWithoutProgress());
  }

  /**
   * Handles a stream that its upstream doesn't know. If another request still runs under the
   * idempotency key, its VM may not have sent it to the upstream yet, so that the stream is
   * requested again after a backoff. Otherwise the request fails.
   */
  void unknown(Request request, long nowNs) {
    if (request.holderState().equals(Optional.of(ClaimState.RUNNING))) {
      broken(request, nowNs);
    } else if (request.state().isDispatched()) {
      closer.failed(request, FailureReason.STREAM_BROKEN, nowNs);
    }
  }

  void upstreamFailed(Request request, FailureReason reason, long nowNs) {
    if (request.state().isDispatched()) {
      closer.failed(request, reason, nowNs);
    }
  }

  void serviceAnswering(Request request, long nowNs) {
    if (request.state() == RequestState.DISPATCHED) {
      request.startStreaming();
      reportFirstToken(request, true, nowNs);
    }
  }

  void serviceCompleted(Request request, long nowNs) {
    boolean answered =
        request.ticket().kind() == RequestKind.SERVICE_CALL
            && request.state() == RequestState.STREAMING;
    if (answered) {
      closer.completed(request, new Usage(1, 0, 1), nowNs);
    }
  }
}
