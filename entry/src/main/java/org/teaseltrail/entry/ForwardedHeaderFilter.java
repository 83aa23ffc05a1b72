package org.teaseltrail.entry;

import io.netty.handler.codec.http.HttpHeaderNames;
import io.netty.handler.codec.http.HttpHeaders;
import java.util.Arrays;
import java.util.HashSet;
import java.util.Locale;
import java.util.Map;
import java.util.Set;
import java.util.function.BiConsumer;

/**
 * Copies headers to be forwarded, except hop-by-hop headers and those meant for this system only.
 */
final class ForwardedHeaderFilter {

  private static final Set<String> NOT_FORWARDED =
      Set.of(
          "connection",
          "keep-alive",
          "proxy-authenticate",
          "proxy-authorization",
          "proxy-connection",
          "te",
          "trailer",
          "transfer-encoding",
          "upgrade",
          "expect",
          "host",
          "authorization",
          "x-request-id");

  private ForwardedHeaderFilter() {}

  /**
   * Copies the headers that are forwarded, leaving out those that the {@code Connection} header
   * lists.
   */
  static void copyForwarded(HttpHeaders from, BiConsumer<String, String> to) {
    String connection = from.get(HttpHeaderNames.CONNECTION, "").toLowerCase(Locale.ROOT);
    Set<String> named = new HashSet<>(Arrays.asList(connection.split("\\s*,\\s*")));
    for (Map.Entry<String, String> header : from) {
      String name = header.getKey().toLowerCase(Locale.ROOT);
      if (!NOT_FORWARDED.contains(name) && !named.contains(name)) {
        to.accept(header.getKey(), header.getValue());
      }
    }
  }
}
