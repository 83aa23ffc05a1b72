package org.teaseltrail.forward;

import io.netty.handler.codec.http.HttpHeaders;
import java.util.OptionalLong;
import java.util.concurrent.TimeUnit;

/** Reads for how long an upstream keeps an idle connection open. */
final class KeepAliveTimeout {

  private static final String KEEP_ALIVE = "Keep-Alive";
  private static final String TIMEOUT_PARAMETER = "timeout=";

  private KeepAliveTimeout() {}

  /**
   * Returns the timeout in nanoseconds, empty if the headers name none or one that is no number.
   */
  static OptionalLong read(HttpHeaders headers) {
    OptionalLong timeoutNs = OptionalLong.empty();
    for (String parameter : headers.get(KEEP_ALIVE, "").split(",")) {
      String trimmed = parameter.trim();
      OptionalLong named =
          trimmed.startsWith(TIMEOUT_PARAMETER)
              ? parse(trimmed.substring(TIMEOUT_PARAMETER.length()).trim())
              : OptionalLong.empty();
      timeoutNs = named.isPresent() ? named : timeoutNs;
    }
    return timeoutNs;
  }

  private static OptionalLong parse(String seconds) {
    try {
      return OptionalLong.of(TimeUnit.SECONDS.toNanos(Long.parseLong(seconds)));
    } catch (NumberFormatException e) {
      // Other forms are unknown; the timeout that held before goes on to hold.
      return OptionalLong.empty();
    }
  }
}
