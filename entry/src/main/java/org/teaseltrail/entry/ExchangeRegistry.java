package org.teaseltrail.entry;

import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import org.teaseltrail.core.id.RequestId;
import org.teaseltrail.core.request.Outcome;

/** Registry of the exchanges and upstream calls of live requests. Used on the node thread only. */
final class ExchangeRegistry {

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

  /** Registers the latest call of a request and closes the previous one. */
  void replaceCall(RequestId request, UpstreamCall call) {
    closeCall(request);
    calls.put(request, call);
    callCount = calls.size();
  }

  Optional<UpstreamCall> findCall(RequestId request) {
    return Optional.ofNullable(calls.get(request));
  }

  void closeCall(RequestId request) {
    UpstreamCall call = calls.remove(request);
    callCount = calls.size();
    if (call != null) {
      call.close();
    }
  }

  /**
   * Removes the call of a completed response without closing it; the call ends by itself.
   *
   * <p>Without the removal, the calls of completed requests would accumulate in memory. Closing the
   * call here would truncate a plain service's response that is still being written to its caller.
   */
  void completed(RequestId request) {
    calls.remove(request);
    callCount = calls.size();
  }

  /** Concludes all requests with an outcome and closes their calls. */
  void concludeAll(Outcome outcome) {
    List.copyOf(calls.keySet()).forEach(this::closeCall);
    List<CallerExchange> open = List.copyOf(exchanges.values());
    exchanges.clear();
    open.forEach(exchange -> exchange.conclude(outcome));
  }

  /** Returns the number of registered upstream calls. May be called on any thread. */
  int callCount() {
    return callCount;
  }
}
