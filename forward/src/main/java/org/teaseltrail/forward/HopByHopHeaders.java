package org.teaseltrail.forward;

import io.netty.handler.codec.http.HttpHeaderNames;
import io.netty.handler.codec.http.HttpHeaders;
import java.util.List;

/** Removes hop-by-hop headers, which apply to a single connection and must not be forwarded. */
final class HopByHopHeaders {

  private static final List<String> NAMES =
      List.of(
          "connection",
          "keep-alive",
          "proxy-connection",
          "proxy-authenticate",
          "proxy-authorization",
          "te",
          "trailer",
          "transfer-encoding",
          "upgrade",
          "expect");

  private HopByHopHeaders() {}

  static void remove(HttpHeaders headers) {
    List<String> connectionHeaders = headers.getAll(HttpHeaderNames.CONNECTION);
    for (String list : connectionHeaders) {
      for (String name : list.split(",")) {
        if (!name.isBlank()) {
          headers.remove(name.trim());
        }
      }
    }
    NAMES.forEach(headers::remove);
  }
}
