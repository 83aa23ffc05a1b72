package org.teaseltrail.entry;

import java.util.function.Consumer;
import org.teaseltrail.core.entry.EntryAction;
import org.teaseltrail.core.id.RequestId;
import org.teaseltrail.core.request.Outcome;

/** Executes the actions that the node returns. Runs on the node thread. */
final class ActionExecutor implements Consumer<EntryAction> {

  private final Exchanges exchanges;
  private final UpstreamCalls calls;
  private final ControlConnections control;
  private final UpstreamAnswers upstreamAnswers;
  private final DecisionLines decisions;
  private final EntryMetrics metrics;
  private final Shutdown shutdown;

  ActionExecutor(EntryParts parts) {
    this.exchanges = parts.exchanges();
    this.calls = parts.calls();
    this.control = parts.control();
    this.upstreamAnswers = parts.upstreamAnswers();
    this.decisions = new DecisionLines();
    this.metrics = parts.metrics();
    this.shutdown = parts.shutdown();
  }

  @Override
  public void accept(EntryAction action) {
    if (action instanceof EntryAction.SendControl send) {
      control.send(send.member(), send.message());
    } else if (action instanceof EntryAction.ReconnectControl reconnect) {
      control.reconnect(reconnect.member());
    } else if (action instanceof EntryAction.Deliver deliver) {
      exchanges.find(deliver.request()).ifPresent(e -> e.deliver(deliver.frame()));
    } else if (action instanceof EntryAction.Conclude conclude) {
      conclude(conclude.request(), conclude.outcome());
    } else if (action instanceof EntryAction.AnswerUpstream answer) {
      upstreamAnswers.answer(answer.exchange(), answer.verdict());
    } else if (action instanceof EntryAction.Log log) {
      decisions.write(log.decision());
    } else {
      executeConnectionAction(action);
    }
  }

  private void executeConnectionAction(EntryAction action) {
    if (action instanceof EntryAction.Connect connect) {
      exchanges.find(connect.request()).ifPresent(e -> connect(e, connect));
    } else if (action instanceof EntryAction.Transmit transmit) {
      exchanges
          .call(transmit.request())
          .filter(DispatchCall.class::isInstance)
          .map(DispatchCall.class::cast)
          .ifPresent(DispatchCall::transmit);
    } else if (action instanceof EntryAction.Resume resume) {
      exchanges
          .find(resume.request())
          .ifPresent(e -> exchanges.connected(resume.request(), calls.resume(e, resume)));
    } else if (action instanceof EntryAction.CloseUpstream close) {
      exchanges.close(close.request());
    } else if (action instanceof EntryAction.CancelUpstream cancel) {
      cancel(cancel);
    } else if (action instanceof EntryAction.CloseListener) {
      shutdown.closeListener();
    } else if (action instanceof EntryAction.Exit) {
      shutdown.finished();
    }
  }

  private void connect(CallerExchange exchange, EntryAction.Connect connect) {
    DispatchCall call = exchange.call(calls, connect.attempt(), connect.asked());
    exchanges.connected(connect.request(), call);
    call.connect(connect.target());
  }

  private void cancel(EntryAction.CancelUpstream cancel) {
    exchanges.close(cancel.request());
    exchanges
        .find(cancel.request())
        .filter(GenerationExchange.class::isInstance)
        .ifPresent(e -> calls.cancel(cancel.request(), cancel.target()));
  }

  private void conclude(RequestId request, Outcome outcome) {
    metrics.ended(outcome);
    exchanges.remove(request).ifPresent(exchange -> exchange.conclude(outcome));
    if (outcome instanceof Outcome.Completed) {
      exchanges.completed(request);
    } else {
      exchanges.close(request);
    }
  }
}
