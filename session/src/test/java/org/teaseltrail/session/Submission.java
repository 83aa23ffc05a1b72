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

  private final SessionWorld cluster;
  private final RequestId id;
  private final Call call;
  private final EntryProcess entry;
  private final CallerCall ask;
  private EngineProcess engine;
  private Outcome outcome;
  private boolean lost;
  private boolean disconnected;
  private Runnable whenOver = () -> {};

  Submission(SessionWorld cluster, RequestId id, Call call, EntryProcess entry) {
    this.cluster = cluster;
    this.id = id;
    this.call = call;
    this.entry = entry;
    this.ask = call.ask();
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

  CallerCall ask() {
    return ask;
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
  boolean isLost() {
    return lost;
  }

  boolean isOver() {
    return outcome != null || lost || disconnected;
  }

  void whenOver(Runnable listener) {
    whenOver = listener;
  }

  void goesTo(EngineProcess granted) {
    engine = granted;
  }

  void delivered(StreamFrame.Text frame) {
    assertThat(outcome).describedAs("outcome of %s before the end of its answer", id).isNull();
    if (call.nextFrame() == 0) {
      cluster.trace().line("caller " + call.spec().name(), "gets the first token of " + id);
    }
    call.delivered(frame);
  }

  void concluded(Outcome finalOutcome) {
    assertThat(outcome).describedAs("earlier outcome of %s", id).isNull();
    outcome = finalOutcome;
    if (finalOutcome instanceof Outcome.Completed) {
      assertThat(call.isWhole()).describedAs("complete answer of %s", id).isTrue();
    }
    cluster
        .trace()
        .line(
            "caller " + call.spec().name(),
            "has " + call.nextFrame() + " tokens and " + finalOutcome);
    whenOver.run();
  }

  void hangUp() {
    disconnected = true;
    entry.hangUp(this);
  }

  void lost() {
    if (!isOver()) {
      lost = true;
      cluster.trace().line("caller " + call.spec().name(), "loses the connection of " + id);
      whenOver.run();
    }
  }
}
