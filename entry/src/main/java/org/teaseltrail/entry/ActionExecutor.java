package org.teaseltrail.entry;

import java.util.function.Consumer;
import org.teaseltrail.core.entry.EntryAction;
import org.teaseltrail.core.id.RequestId;
import org.teaseltrail.core.request.Outcome;

/** Executes the actions that the node returns. Runs on the node thread. */
final class ActionExecutor implements Consumer<EntryAction> {

  private final ExchangeRegistry exchanges;
  private final UpstreamCallFactory calls;
  private final ControlConnectionManager control;
  private final PendingVerdictRegistry upstreamAnswers;
  private final DecisionLogger decisions;
  private final EntryMetrics metrics;
  private final ShutdownCoordinator shutdown;

  ActionExecutor(DaemonComponents parts) {
    this.exchanges = parts.exchanges();
    this.calls = parts.calls();
    this.control = parts.control();
    this.upstreamAnswers = parts.pendingVerdicts();
    this.decisions = new DecisionLogger();
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
      upstreamAnswers.complete(answer.exchange(), answer.verdict());
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
          .findCall(transmit.request())
          .filter(DispatchCall.class::isInstance)
          .map(DispatchCall.class::cast)
          .ifPresent(DispatchCall::transmit);
    } else if (action instanceof EntryAction.Resume resume) {
      exchanges
          .find(resume.request())
          .ifPresent(e -> exchanges.replaceCall(resume.request(), calls.startResume(e, resume)));
    } else if (action instanceof EntryAction.CloseUpstream close) {
      exchanges.closeCall(close.request());
    } else if (action instanceof EntryAction.CancelUpstream cancel) {
      cancel(cancel);
    } else if (action instanceof EntryAction.CloseListener) {
      shutdown.closeListener();
    } else if (action instanceof EntryAction.Exit) {
      shutdown.markFinished();
    }
  }

  private void connect(CallerExchange exchange, EntryAction.Connect connect) {
    DispatchCall call = exchange.createCall(calls, connect.attempt(), connect.asked());
    exchanges.replaceCall(connect.request(), call);
    call.connect(connect.target());
  }

  private void cancel(EntryAction.CancelUpstream cancel) {
    exchanges.closeCall(cancel.request());
    exchanges
        .find(cancel.request())
        .filter(GenerationExchange.class::isInstance)
        .ifPresent(e -> calls.cancel(cancel.request(), cancel.target()));
  }

  private void conclude(RequestId request, Outcome outcome) {
    metrics.countOutcome(outcome);
    exchanges.remove(request).ifPresent(exchange -> exchange.conclude(outcome));
    if (outcome instanceof Outcome.Completed) {
      exchanges.completed(request);
    } else {
      exchanges.closeCall(request);
    }
  }
}
