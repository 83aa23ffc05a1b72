package org.teaseltrail.forward;

import io.netty.handler.codec.http.HttpHeaderNames;
import io.netty.handler.codec.http.HttpHeaders;
import java.util.List;

/** Takes out the headers that concern one connection only. */
final class HopHeaders {

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

  private HopHeaders() {}

  static void remove(HttpHeaders headers) {
    List<String> named = headers.getAll(HttpHeaderNames.CONNECTION);
    for (String list : named) {
      for (String name : list.split(",")) {
        if (!name.isBlank()) {
          headers.remove(name.trim());
        }
      }
    }
    NAMES.forEach(headers::remove);
  }
}
