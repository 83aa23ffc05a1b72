package org.teaseltrail.control;

import java.util.Map;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.atomic.AtomicLong;
import java.util.function.Consumer;
import org.teaseltrail.core.control.ControlEvent;
import org.teaseltrail.core.control.OperatorRequest;
import org.teaseltrail.core.control.OperatorResult;

/** Passes operators' requests to the member's event loop and completes them with its replies. */
final class OperatorCallTracker {

  private final Map<Long, CompletableFuture<OperatorResult>> open = new ConcurrentHashMap<>();
  private final AtomicLong lastCallId = new AtomicLong();
  private final Consumer<ControlEvent> events;

  OperatorCallTracker(Consumer<ControlEvent> events) {
    this.events = events;
  }

  CompletableFuture<OperatorResult> call(OperatorRequest request) {
    long callId = lastCallId.incrementAndGet();
    CompletableFuture<OperatorResult> result = new CompletableFuture<>();
    open.put(callId, result);
    events.accept(new ControlEvent.OperatorCall(callId, request));
    return result;
  }

  void reply(long callId, OperatorResult result) {
    CompletableFuture<OperatorResult> call = open.remove(callId);
    if (call != null) {
      call.complete(result);
    }
  }

  /**
   * Completes all pending calls at shutdown with an indeterminate outcome, since their requests may
   * or may not have been committed.
   */
  void end() {
    open.keySet().forEach(callId -> reply(callId, new OperatorResult.OutcomeIndeterminate()));
  }
}
