package org.teaseltrail.entry;

import java.util.HashMap;
import java.util.Map;
import java.util.Optional;
import org.teaseltrail.core.id.RequestId;

/** Holds the exchanges and upstream connections of live requests. On the node's thread only. */
final class Exchanges {

  private final Map<RequestId, CallerExchange> exchanges = new HashMap<>();
  private final Map<RequestId, UpstreamCall> calls = new HashMap<>();
  private volatile int callCount;

  void add(CallerExchange exchange) {
    exchanges.put(exchange.request(), exchange);
  }

  Optional<CallerExchange> find(RequestId request) {
    return Optional.ofNullable(exchanges.get(request));
  }

  Optional<CallerExchange> remove(RequestId request) {
    return Optional.ofNullable(exchanges.remove(request));
  }

  /** Notes the newest connection of a request and closes the one before. */
  void connected(RequestId request, UpstreamCall call) {
    close(request);
    calls.put(request, call);
    callCount = calls.size();
  }

  Optional<UpstreamCall> call(RequestId request) {
    return Optional.ofNullable(calls.get(request));
  }

  void close(RequestId request) {
    UpstreamCall call = calls.remove(request);
    callCount = calls.size();
    if (call != null) {
      call.close();
    }
  }

  /**
   * Lets go of the connection of a whole answer without closing it; it ends by itself.
   *
   * <p>Guards against memory that fills with what completed requests leave behind. Closing it here
   * would cut off a plain service's answer that is still being written to its caller.
   */
  void completed(RequestId request) {
    calls.remove(request);
    callCount = calls.size();
  }

  /** Returns how many connections to upstreams are held; on any thread. */
  int callCount() {
    return callCount;
  }
}
