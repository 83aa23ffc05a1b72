package org.teaseltrail.core.control;

import org.teaseltrail.core.forward.ForwardSamples;
import org.teaseltrail.core.id.UpstreamId;
import org.teaseltrail.core.plan.TestPlans;
import org.teaseltrail.core.registry.Registration;

/** Simulated engine of a given speed that can fail in several ways and recover. */
final class FakeEngine {

  /** Defines how the engine handles a request. */
  enum State {
    /** Answers in its usual time. */
    HEALTHY,
    /** Refuses connections. */
    GONE,
    /** Accepts requests and never answers. */
    HANGING,
    /** Breaks the connection during an answer. */
    ABORTING,
    /** Returns errors immediately. */
    FAILING,
    /** Takes three times as long. */
    SLOW
  }

  static final int SLOTS = 4;

  private static final double BASE_MS = 400;
  private static final double SLOW_FACTOR = 3;

  private final Registration registration;
  private final double slowness;
  private State state = State.HEALTHY;
  private int running;
  private int dispatched;

  FakeEngine(String id, double latencyFactor) {
    registration = ForwardSamples.upstream(id, TestPlans.ENGINES, SLOTS);
    this.slowness = latencyFactor;
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

  void setState(State next) {
    state = next;
  }

  /** Returns the throughput when all slots are in use, in requests per second. */
  double perSecond() {
    return SLOTS * 1_000 / (BASE_MS * slowness);
  }

  /** Returns the service time of a request while there are no more requests than slots. */
  long baseServiceTimeMs() {
    return (long) (BASE_MS * slowness);
  }

  /**
   * Starts a request and returns its service time, which grows with the number of requests beyond
   * the slots.
   */
  long startRequest() {
    running++;
    dispatched++;
    double crowd = Math.max(1, (double) running / SLOTS);
    return (long) (baseServiceTimeMs() * crowd * (state == State.SLOW ? SLOW_FACTOR : 1));
  }

  void end() {
    running--;
  }

  boolean isFull() {
    return running >= SLOTS;
  }

  int running() {
    return running;
  }

  void resetDispatchCount() {
    dispatched = 0;
  }

  /** Returns the number of requests since the count was reset. */
  int dispatched() {
    return dispatched;
  }
}
