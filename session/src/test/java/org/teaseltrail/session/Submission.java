package org.teaseltrail.session;

import static org.assertj.core.api.Assertions.assertThat;

import java.util.Optional;
import org.teaseltrail.core.entry.CallerCall;
import org.teaseltrail.core.id.RequestId;
import org.teaseltrail.core.request.Outcome;
import org.teaseltrail.core.request.StreamFrame;
import org.teaseltrail.standin.model.EngineRequest;

/** One attempt of a call at one entry VM. */
final class Submission {

  private final SimulatedCluster cluster;
  private final RequestId id;
  private final Call call;
  private final EntryProcess entry;
  private final CallerCall callerCall;
  private EngineProcess engine;
  private Outcome outcome;
  private boolean connectionLost;
  private boolean disconnected;
  private Runnable onFinished = () -> {};

  Submission(SimulatedCluster cluster, RequestId id, Call call, EntryProcess entry) {
    this.cluster = cluster;
    this.id = id;
    this.call = call;
    this.entry = entry;
    this.callerCall = call.toCallerCall();
  }

  RequestId id() {
    return id;
  }

  Call call() {
    return call;
  }

  EntryProcess entry() {
    return entry;
  }

  CallerCall callerCall() {
    return callerCall;
  }

  EngineRequest engineRequest() {
    return call.engineRequest(id);
  }

  EngineProcess engine() {
    return engine;
  }

  Optional<Outcome> outcome() {
    return Optional.ofNullable(outcome);
  }

  /** Returns whether the entry VM died before the outcome. */
  boolean isConnectionLost() {
    return connectionLost;
  }

  boolean isFinished() {
    return outcome != null || connectionLost || disconnected;
  }

  void onFinished(Runnable listener) {
    onFinished = listener;
  }

  void setEngine(EngineProcess granted) {
    engine = granted;
  }

  void onTextFrame(StreamFrame.Text frame) {
    assertThat(outcome).describedAs("outcome of %s before the end of its answer", id).isNull();
    if (call.nextFrame() == 0) {
      cluster.trace().addLine("caller " + call.spec().name(), "gets the first token of " + id);
    }
    call.onTextFrame(frame);
  }

  void onOutcome(Outcome finalOutcome) {
    assertThat(outcome).describedAs("earlier outcome of %s", id).isNull();
    outcome = finalOutcome;
    if (finalOutcome instanceof Outcome.Completed) {
      assertThat(call.isComplete()).describedAs("complete answer of %s", id).isTrue();
    }
    cluster
        .trace()
        .addLine(
            "caller " + call.spec().name(),
            "has " + call.nextFrame() + " tokens and " + finalOutcome);
    onFinished.run();
  }

  void disconnect() {
    disconnected = true;
    entry.disconnectCaller(this);
  }

  void connectionLost() {
    if (!isFinished()) {
      connectionLost = true;
      cluster.trace().addLine("caller " + call.spec().name(), "loses the connection of " + id);
      onFinished.run();
    }
  }
}
