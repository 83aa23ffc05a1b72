package org.teaseltrail.session;

import static org.assertj.core.api.Assertions.assertThat;

import java.util.Optional;
import org.teaseltrail.core.entry.CallerCall;
import org.teaseltrail.core.id.RequestId;
import org.teaseltrail.core.request.Outcome;
import org.teaseltrail.core.request.StreamFrame;
import org.teaseltrail.standin.model.EngineRequest;

/** Is one time that a caller asks an entry VM. */
final class Submission {

  private final SessionWorld world;
  private final RequestId id;
  private final Call call;
  private final EntryProcess entry;
  private final CallerCall ask;
  private EngineProcess engine;
  private Outcome outcome;
  private boolean lost;
  private boolean hungUp;
  private Runnable whenOver = () -> {};

  Submission(SessionWorld world, RequestId id, Call call, EntryProcess entry) {
    this.world = world;
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

  /** Returns whether its entry VM died before the outcome. */
  boolean isLost() {
    return lost;
  }

  boolean isOver() {
    return outcome != null || lost || hungUp;
  }

  void whenOver(Runnable next) {
    whenOver = next;
  }

  void goesTo(EngineProcess granted) {
    engine = granted;
  }

  void delivered(StreamFrame.Text frame) {
    assertThat(outcome).describedAs("outcome of %s before its answer's end", id).isNull();
    if (call.nextFrame() == 0) {
      world.trace().line("caller " + call.spec().name(), "gets the first token of " + id);
    }
    call.delivered(frame);
  }

  void concluded(Outcome last) {
    assertThat(outcome).describedAs("earlier outcome of %s", id).isNull();
    outcome = last;
    if (last instanceof Outcome.Completed) {
      assertThat(call.isWhole()).describedAs("whole answer of %s", id).isTrue();
    }
    world
        .trace()
        .line("caller " + call.spec().name(), "has " + call.nextFrame() + " tokens and " + last);
    whenOver.run();
  }

  void hangUp() {
    hungUp = true;
    entry.hangUp(this);
  }

  void lost() {
    if (!isOver()) {
      lost = true;
      world.trace().line("caller " + call.spec().name(), "loses the connection of " + id);
      whenOver.run();
    }
  }
}
