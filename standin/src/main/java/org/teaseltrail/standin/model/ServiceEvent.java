package org.teaseltrail.standin.model;

import org.teaseltrail.core.id.Incarnation;
import org.teaseltrail.core.id.RequestId;

/** Input of the model of a plain service. */
public sealed interface ServiceEvent {

  /**
   * A call is received.
   *
   * @param request the request
   */
  record Call(RequestId request) implements ServiceEvent {}

  /**
   * The service slows down or recovers; calls that already run keep their duration.
   *
   * @param factor multiplier of the duration of calls
   */
  record SetStragglerFactor(double factor) implements ServiceEvent {}

  /** The service is to announce that it is leaving, and to complete calls that still arrive. */
  record Drain() implements ServiceEvent {}

  /** The service crashes and loses its calls. */
  record Crash() implements ServiceEvent {}

  /**
   * The service restarts without calls.
   *
   * @param incarnation its new incarnation
   */
  record Restart(Incarnation incarnation) implements ServiceEvent {}

  /** Time advances without another event. */
  record Tick() implements ServiceEvent {}
}
