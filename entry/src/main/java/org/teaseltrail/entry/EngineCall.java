package org.teaseltrail.entry;

import io.netty.handler.codec.http.HttpHeaderNames;
import org.teaseltrail.core.entry.EntryEvent;
import org.teaseltrail.core.request.FailureReason;
import org.teaseltrail.core.request.UpstreamTarget;

/** Dispatches a request to an engine and reads the response stream. */
final class EngineCall extends DispatchCall {

  /** Path under which an engine serves its streams. */
  static final String STREAMS_PATH = "/v1/streams";

  private final UpstreamCallFactory calls;
  private final CallerExchange exchange;
  private final byte[] body;

  EngineCall(UpstreamCallFactory calls, CallerExchange exchange, int attempt, byte[] body) {
    super(calls.loop(), exchange.request(), attempt);
    this.calls = calls;
    this.exchange = exchange;
    this.body = body;
  }

  @Override
  void connect(UpstreamTarget target) {
    EngineStreamSubscriber lines =
        new EngineStreamSubscriber(calls.loop(), exchange, attempt(), this::onStreamEnd);
    setSubscription(lines::close);
    calls
        .client(target)
        .headers(
            headers ->
                headers
                    .set(HttpConstants.REQUEST_ID, request().value())
                    .set(HttpHeaderNames.CONTENT_TYPE, HttpConstants.JSON)
                    .set(HttpHeaderNames.CONTENT_LENGTH, body.length))
        .post()
        .uri(STREAMS_PATH)
        .send((head, out) -> sendAfterTransmit(out, body))
        .responseConnection(EngineStreamSubscriber::readLines)
        .subscribe(lines);
  }

  private void onStreamEnd(EngineStreamOutcome answer) {
    switch (answer) {
      case REFUSED -> submitEvent(new EntryEvent.UpstreamRefused(request(), attempt()));
      case UNKNOWN, REJECTED ->
          submitEvent(
              new EntryEvent.UpstreamFailed(request(), attempt(), FailureReason.UPSTREAM_PROTOCOL));
      default -> broken();
    }
  }
}
