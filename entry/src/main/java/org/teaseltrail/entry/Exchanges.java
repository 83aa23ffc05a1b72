package org.teaseltrail.entry;

import java.util.HashMap;
import java.util.Map;
import java.util.Optional;
import org.teaseltrail.core.id.RequestId;

/** Holds the exchanges and upstream connections of live requests. On the node's thread only. */
final class Exchanges {

  private final Map<RequestId, CallerExchange> exchanges = new HashMap<>();
  private final Map<RequestId, UpstreamCall> calls = new HashMap<>();

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
  }

  Optional<UpstreamCall> call(RequestId request) {
    return Optional.ofNullable(calls.get(request));
  }

  void close(RequestId request) {
    UpstreamCall call = calls.remove(request);
    if (call != null) {
      call.close();
    }
  }
}
