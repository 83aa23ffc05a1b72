package org.teaseltrail.core.control;

import java.util.HashMap;
import java.util.Map;
import java.util.Optional;
import org.teaseltrail.core.decision.Decision;
import org.teaseltrail.core.decision.DecisionKind;
import org.teaseltrail.core.id.FencingNumber;
import org.teaseltrail.core.upstream.Announcement;

/** Sends orders to engines under one leadership, each with a log line, and hears their answers. */
final class EngineOrderDispatcher {

  private final ActionBuffer out;
  private final FencingNumber fencing;
  private final Map<Long, Long> calls = new HashMap<>();
  private long lastNumber;

  EngineOrderDispatcher(ActionBuffer out, FencingNumber fencing) {
    this.out = out;
    this.fencing = fencing;
  }

  EngineOrder send(Announcement engine, OrderContent content, long nowNs) {
    EngineOrder order =
        new EngineOrder(++lastNumber, engine.upstream(), engine.address(), content, fencing);
    out.sendOrder(order);
    log(order, "outcome=ORDERED", nowNs);
    return order;
  }

  /** Sends an operator's order; the operator is answered with the engine. */
  void send(long callId, OperatorRequest.OrderEngine request, Leadership leadership) {
    if (!leadership.configuration().upstreams().containsKey(request.upstream())) {
      reject(callId, OrderRejection.UNKNOWN_UPSTREAM);
      return;
    }
    Optional<Announcement> engine =
        leadership.announcements().find(request.upstream(), leadership.nowNs());
    if (engine.isEmpty()) {
      reject(callId, OrderRejection.SILENT_UPSTREAM);
      return;
    }
    EngineOrder order = send(engine.get(), request.content(), leadership.nowNs());
    calls.put(order.number(), callId);
  }

  /** Takes an engine's answer; an answer to an older leadership's order is only logged. */
  void onAnswer(EngineOrder order, OrderOutcome outcome, long nowNs) {
    log(order, "outcome=" + outcome, nowNs);
    Long callId = order.fencing().equals(fencing) ? calls.remove(order.number()) : null;
    if (callId != null) {
      out.reply(callId, new OperatorResult.OrderAnswered(outcome, fencing));
    }
  }

  void end() {
    calls.values().forEach(callId -> out.reply(callId, new OperatorResult.OutcomeIndeterminate()));
    calls.clear();
  }

  private void reject(long callId, OrderRejection reason) {
    out.reply(callId, new OperatorResult.OrderRejected(reason));
  }

  private void log(EngineOrder order, String outcome, long nowNs) {
    OrderContent content = order.content();
    String target =
        content.target().map(model -> " model=" + model.model() + "/" + model.version()).orElse("");
    String adapter = order.adapter().map(name -> " adapter=" + name).orElse("");
    String role = content.role().map(name -> " role=" + name).orElse("");
    String reason = "order=" + content.kind() + target + adapter + role;
    out.log(
        new Decision(
            DecisionKind.PLACE,
            Optional.empty(),
            Optional.empty(),
            Optional.empty(),
            Optional.of(order.upstream()),
            reason + " fencing=" + order.fencing() + " " + outcome),
        nowNs);
  }
}
