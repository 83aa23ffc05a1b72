package org.teaseltrail.standin.model;

import org.teaseltrail.core.id.Incarnation;
import org.teaseltrail.core.id.RequestId;

/** Is something that happens to a plain service. */
public sealed interface ServiceEvent {

  /**
   * A call has come.
   *
   * @param request the request
   */
  record Call(RequestId request) implements ServiceEvent {}

  /**
   * The service becomes slower or recovers; calls that run already keep their time.
   *
   * @param factor how many times longer calls take
   */
  record Straggle(double factor) implements ServiceEvent {}

  /** The service is to tell that it leaves, and to finish what still reaches it. */
  record Leave() implements ServiceEvent {}

  /** The service dies, with all that it holds. */
  record Crash() implements ServiceEvent {}

  /**
   * The service starts again, empty.
   *
   * @param incarnation its new life
   */
  record Restart(Incarnation incarnation) implements ServiceEvent {}

  /** Time has passed. */
  record Tick() implements ServiceEvent {}
}
