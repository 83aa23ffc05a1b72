package org.teaseltrail.forward;

import io.netty.handler.codec.http.FullHttpRequest;
import io.netty.handler.codec.http.HttpResponse;
import java.util.Optional;
import org.teaseltrail.core.forward.AttemptOutcome;
import org.teaseltrail.core.forward.ForwardAction;
import org.teaseltrail.core.registry.Registration;
import org.teaseltrail.core.stream.StreamOrigin;

/** An attempt at an upstream. */
final class UpstreamAttempt extends ExchangeAttempt {

  private static final int FIRST_SERVER_ERROR = 500;

  private final ForwardAction.Dispatch dispatch;
  private final Registration upstream;
  private final long dispatchedNs;

  UpstreamAttempt(ForwardServer server, Exchange exchange, ForwardAction.Dispatch dispatch) {
    super(server, exchange);
    this.dispatch = dispatch;
    upstream = dispatch.upstream();
    dispatchedNs = server.signalHandler().nowNs();
  }

  @Override
  void start() {
    server()
        .pool()
        .acquire(
            upstream.upstreamIncarnation(),
            upstream.address(),
            requestId(),
            this::onConnected,
            this::onConnectFailed);
  }

  @Override
  void giveBack(UpstreamConnection made) {
    server().pool().release(made);
  }

  @Override
  boolean canSend() {
    return server().signalHandler().canSend(upstream.upstreamIncarnation());
  }

  @Override
  void writeHeaders(FullHttpRequest call) {
    server()
        .headerCodec()
        .writeUpstreamHeaders(
            call.headers(),
            new UpstreamCallMetadata(
                upstream.id(),
                dispatch.customer(),
                dispatch.remainingMs(),
                exchange().events().lastEventId()));
  }

  @Override
  boolean onHead(HttpResponse response, ResponseHead read) {
    read.load().ifPresent(load -> server().onLoadReport(upstream.upstreamIncarnation(), load));
    if (status() != MISDIRECTED_REQUEST) {
      server().signalHandler().heard(upstream, read, dispatchedNs);
    }
    return true;
  }

  @Override
  public void readCompleted() {
    server().onUpstreamHeard(upstream.id());
    super.readCompleted();
  }

  @Override
  void onCompleted() {
    reportLatency();
    end(outcomeOfCompleteResponse());
  }

  @Override
  Optional<StreamOrigin> origin() {
    return Optional.of(StreamOrigin.of(upstream));
  }

  @Override
  void report(AttemptOutcome outcome) {
    server().onAttemptEnded(exchange(), outcome);
  }

  /** Reports the mean interval between events, or the latency of a response without events. */
  private void reportLatency() {
    double intervalMs = meanEventIntervalMs();
    if (intervalMs > 0) {
      server().recordEventInterval(exchange(), upstream.id(), intervalMs);
    } else if (!forwardsEvents()) {
      server().recordEventLatency(upstream.id(), elapsedMs());
    }
  }

  /**
   * Returns the outcome of an attempt with a complete response. A status that guarantees "not run"
   * to a caller is trusted only if the upstream itself states that it did not run the request;
   * otherwise the request may have run.
   */
  private AttemptOutcome outcomeOfCompleteResponse() {
    if (status() == MISDIRECTED_REQUEST) {
      return AttemptOutcome.MISDIRECTED;
    }
    if (head().notRun()) {
      return AttemptOutcome.REFUSED;
    }
    if (forwardsEvents()) {
      return isStreamWhole() ? AttemptOutcome.ANSWERED : AttemptOutcome.BROKEN;
    }
    boolean isStreamResumed = exchange().hasResponseStarted();
    if (guaranteesNotRun() || isUnsignedSuccess() || isStreamResumed) {
      return AttemptOutcome.BROKEN;
    }
    return status() >= FIRST_SERVER_ERROR ? AttemptOutcome.FAILED_ANSWER : AttemptOutcome.ANSWERED;
  }
}
