package org.teaseltrail.core.control;

import java.util.HashMap;
import java.util.Map;
import java.util.Optional;
import org.teaseltrail.core.decision.Decision;
import org.teaseltrail.core.decision.DecisionKind;
import org.teaseltrail.core.id.FencingNumber;
import org.teaseltrail.core.upstream.Announcement;

/**
 * Sends orders to engines under one leadership, logs each as a decision, and handles the engines'
 * answers.
 */
final class EngineOrderDispatcher {

  private final ActionBuffer actions;
  private final FencingNumber fencing;
  private final Map<Long, Long> calls = new HashMap<>();
  private long lastNumber;

  EngineOrderDispatcher(ActionBuffer actions, FencingNumber fencing) {
    this.actions = actions;
    this.fencing = fencing;
  }

  EngineOrder send(Announcement engine, OrderContent content, long nowNs) {
    EngineOrder order =
        new EngineOrder(++lastNumber, engine.upstream(), engine.address(), content, fencing);
    actions.sendOrder(order);
    log(order, "outcome=ORDERED", nowNs);
    return order;
  }

  /** Sends an operator's order; the operator is answered when the engine has answered. */
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

  /** Handles an engine's answer; an answer to an order of an earlier leadership is only logged. */
  void onAnswer(EngineOrder order, OrderOutcome outcome, long nowNs) {
    log(order, "outcome=" + outcome, nowNs);
    Long callId = order.fencing().equals(fencing) ? calls.remove(order.number()) : null;
    if (callId != null) {
      actions.reply(callId, new OperatorResult.OrderAnswered(outcome, fencing));
    }
  }

  void end() {
    calls
        .values()
        .forEach(callId -> actions.reply(callId, new OperatorResult.OutcomeIndeterminate()));
    calls.clear();
  }

  private void reject(long callId, OrderRejection reason) {
    actions.reply(callId, new OperatorResult.OrderRejected(reason));
  }

  private void log(EngineOrder order, String outcome, long nowNs) {
    OrderContent content = order.content();
    String target =
        content.target().map(model -> " model=" + model.model() + "/" + model.version()).orElse("");
    String adapter = order.adapter().map(name -> " adapter=" + name).orElse("");
    String role = content.role().map(name -> " role=" + name).orElse("");
    String reason = "order=" + content.kind() + target + adapter + role;
    actions.log(
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
