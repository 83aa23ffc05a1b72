package org.teaseltrail.entry;

import io.netty.handler.codec.http.HttpHeaderNames;
import org.teaseltrail.core.entry.EntryEvent;
import org.teaseltrail.core.request.FailureReason;
import org.teaseltrail.core.request.UpstreamTarget;

/** Dispatches a request to an engine and reads the response stream. */
final class EngineCall extends DispatchCall {

  /** Path under which an engine serves its streams. */
  static final String STREAMS = "/v1/streams";

  private final UpstreamCalls calls;
  private final CallerExchange exchange;
  private final byte[] body;

  EngineCall(UpstreamCalls calls, CallerExchange exchange, int attempt, byte[] body) {
    super(calls.loop(), exchange.request(), attempt);
    this.calls = calls;
    this.exchange = exchange;
    this.body = body;
  }

  @Override
  void connect(UpstreamTarget target) {
    EngineLines lines = new EngineLines(calls.loop(), exchange, attempt(), this::onStreamEnd);
    subscribed(lines::close);
    calls
        .client(target)
        .headers(
            headers ->
                headers
                    .set(HttpNames.REQUEST_ID, request().value())
                    .set(HttpHeaderNames.CONTENT_TYPE, HttpNames.JSON)
                    .set(HttpHeaderNames.CONTENT_LENGTH, body.length))
        .post()
        .uri(STREAMS)
        .send((head, out) -> sendWhenPermitted(out, body))
        .responseConnection(EngineLines::read)
        .subscribe(lines);
  }

  private void onStreamEnd(EngineAnswer answer) {
    switch (answer) {
      case REFUSED -> tell(new EntryEvent.UpstreamRefused(request(), attempt()));
      case UNKNOWN, REJECTED ->
          tell(
              new EntryEvent.UpstreamFailed(request(), attempt(), FailureReason.UPSTREAM_PROTOCOL));
      default -> broken();
    }
  }
}
