package org.teaseltrail.standin.model;

import org.teaseltrail.core.id.FencingNumber;
import org.teaseltrail.core.id.Incarnation;
import org.teaseltrail.core.id.RequestId;

/** Input of the engine model. */
public sealed interface EngineEvent {

  /**
   * A request is submitted.
   *
   * @param request the request
   */
  record Submit(EngineRequest request) implements EngineEvent {}

  /**
   * A reader requests a stream, starting at a frame.
   *
   * @param request the request
   * @param fromSequence number of the first frame requested
   */
  record Resume(RequestId request, int fromSequence) implements EngineEvent {}

  /**
   * A request is cancelled.
   *
   * @param request the request
   */
  record Cancel(RequestId request) implements EngineEvent {}

  /**
   * An order is received.
   *
   * @param order the order
   * @param fencing fencing number of the leadership that issued it
   */
  record Order(EngineOrder order, FencingNumber fencing) implements EngineEvent {}

  /**
   * The KV cache of a request is to be exported.
   *
   * @param request the request
   */
  record ExportKv(RequestId request) implements EngineEvent {}

  /**
   * A KV cache is imported.
   *
   * @param cache the cache
   */
  record ImportKv(KvCache cache) implements EngineEvent {}

  /**
   * The engine slows down or recovers.
   *
   * @param factor multiplier of the step times of the hardware profile
   */
  record SetStragglerFactor(double factor) implements EngineEvent {}

  /** The engine is to complete its requests and refuse new ones. */
  record Drain() implements EngineEvent {}

  /** The engine crashes and loses its state. */
  record Crash() implements EngineEvent {}

  /**
   * The engine restarts without state.
   *
   * @param incarnation its new incarnation
   */
  record Restart(Incarnation incarnation) implements EngineEvent {}

  /** Time advances without another event. */
  record Tick() implements EngineEvent {}
}
