package org.teaseltrail.wire.http;

import io.netty.handler.codec.http.HttpMethod;

/** What has been written of the latest request on a connection. */
final class RequestProgress {

  private HttpMethod method = HttpMethod.GET;
  private boolean hasBody;
  private boolean written;

  /** Notes that a request is sent now. */
  void start(HttpMethod next) {
    method = next;
    hasBody = false;
    written = false;
  }

  /** Notes that the request has a body. */
  void addBody() {
    hasBody = true;
  }

  /** Notes that the transport has taken all of the request. */
  void end() {
    written = true;
  }

  HttpMethod method() {
    return method;
  }

  boolean hasBody() {
    return hasBody;
  }

  boolean isWritten() {
    return written;
  }
}
