package org.teaseltrail.entry;

import io.netty.util.AsciiString;

/** Names of the headers and content types that the project's protocols use. */
final class HttpConstants {

  static final AsciiString REQUEST_ID = AsciiString.cached("X-Request-Id");
  static final AsciiString IDEMPOTENCY_KEY = AsciiString.cached("Idempotency-Key");
  static final AsciiString LAST_EVENT_ID = AsciiString.cached("Last-Event-ID");
  static final AsciiString UPSTREAM_ID = AsciiString.cached("X-Upstream-Id");
  static final AsciiString UPSTREAM_SECRET = AsciiString.cached("X-Upstream-Secret");
  static final String JSON = "application/json";

  private HttpConstants() {}
}
