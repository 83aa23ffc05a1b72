package org.teaseltrail.core.control;

import org.teaseltrail.core.forward.ForwardSamples;
import org.teaseltrail.core.id.UpstreamId;
import org.teaseltrail.core.plan.TestPlans;
import org.teaseltrail.core.registry.Registration;

/** Is an engine of a given speed that can fail in several ways and be sound again. */
final class FakeEngine {

  /** Says what becomes of a request there. */
  enum State {
    /** Answers in its own time. */
    SOUND,
    /** Makes no connection. */
    GONE,
    /** Takes requests and says nothing. */
    SILENT,
    /** Breaks answers off. */
    BREAKING,
    /** Answers with failures at once. */
    FAILING,
    /** Takes three times as long. */
    SLOW
  }

  static final int PLACES = 4;

  private static final double BASE_MS = 400;
  private static final double SLOW_FACTOR = 3;

  private final Registration registration;
  private final double slowness;
  private State state = State.SOUND;
  private int running;
  private int dispatched;

  FakeEngine(String id, double slowness) {
    registration = ForwardSamples.upstream(id, TestPlans.ENGINES, PLACES);
    this.slowness = slowness;
  }

  Registration registration() {
    return registration;
  }

  UpstreamId id() {
    return registration.id();
  }

  State state() {
    return state;
  }

  void become(State next) {
    state = next;
  }

  /** Returns the requests that it answers in a second when all places are in use. */
  double perSecond() {
    return PLACES * 1_000 / (BASE_MS * slowness);
  }

  /** Returns the time of a request among no more than there are places. */
  long usualMs() {
    return (long) (BASE_MS * slowness);
  }

  /** Begins a request; the more there are beyond the places, the longer it takes. */
  long begin() {
    running++;
    dispatched++;
    double crowd = Math.max(1, (double) running / PLACES);
    return (long) (usualMs() * crowd * (state == State.SLOW ? SLOW_FACTOR : 1));
  }

  void end() {
    running--;
  }

  boolean isFull() {
    return running >= PLACES;
  }

  int running() {
    return running;
  }

  void countAnew() {
    dispatched = 0;
  }

  /** Returns the requests that came since the count began. */
  int dispatched() {
    return dispatched;
  }
}
