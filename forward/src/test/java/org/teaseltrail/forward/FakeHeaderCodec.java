package org.teaseltrail.forward;

import io.netty.handler.codec.http.HttpHeaders;
import io.netty.handler.codec.http.HttpRequest;
import io.netty.handler.codec.http.HttpResponse;
import java.util.Optional;
import java.util.OptionalLong;
import org.teaseltrail.core.forward.ForwardRequest;
import org.teaseltrail.core.quarantine.RequestContent;

/** Codec of a platform whose answers only name their request; each caller waits two seconds. */
final class FakeHeaderCodec implements HeaderCodec {

  static final long DEADLINE_MS = 2_000;
  static final String REQUEST_ID = "Request-Id";

  @Override
  public ForwardRequest readRequest(long number, HttpRequest head, RequestContent content) {
    throw new UnsupportedOperationException();
  }

  @Override
  public OptionalLong readDeadlineMs(HttpRequest head) {
    return OptionalLong.of(DEADLINE_MS);
  }

  @Override
  public void writeUpstreamHeaders(HttpHeaders headers, UpstreamCallMetadata call) {}

  @Override
  public void writeResumption(HttpHeaders headers, Optional<String> lastEventId) {}

  @Override
  public ResponseHead readResponseHead(HttpResponse head) {
    return new ResponseHead(
        Optional.ofNullable(head.headers().get(REQUEST_ID)),
        true,
        false,
        true,
        Optional.empty(),
        Optional.empty(),
        OptionalLong.empty(),
        Optional.empty(),
        false);
  }

  @Override
  public void writeRefusalHeaders(HttpHeaders headers, String requestId, long retryAfterMs) {}
}
