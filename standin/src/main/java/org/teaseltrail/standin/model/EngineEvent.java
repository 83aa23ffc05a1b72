package org.teaseltrail.standin.model;

import org.teaseltrail.core.id.FencingNumber;
import org.teaseltrail.core.id.Incarnation;
import org.teaseltrail.core.id.RequestId;

/** Is something that happens to an engine. */
public sealed interface EngineEvent {

  /**
   * A request is submitted.
   *
   * @param request the request
   */
  record Submit(EngineRequest request) implements EngineEvent {}

  /**
   * A reader asks for a stream from a frame on.
   *
   * @param request the request
   * @param fromSequence number of the first frame wanted
   */
  record Resume(RequestId request, int fromSequence) implements EngineEvent {}

  /**
   * A request is to be stopped.
   *
   * @param request the request
   */
  record Cancel(RequestId request) implements EngineEvent {}

  /**
   * An order has come.
   *
   * @param order the order
   * @param fencing the number of the leadership that gives it
   */
  record Order(EngineOrder order, FencingNumber fencing) implements EngineEvent {}

  /**
   * The KV cache of a request is wanted.
   *
   * @param request the request
   */
  record ExportKv(RequestId request) implements EngineEvent {}

  /**
   * A KV cache is handed in.
   *
   * @param cache the cache
   */
  record ImportKv(KvCache cache) implements EngineEvent {}

  /**
   * The engine becomes slower or recovers.
   *
   * @param factor how many times longer steps take than the hardware says
   */
  record Straggle(double factor) implements EngineEvent {}

  /** The engine is to finish what it has and take nothing new. */
  record Leave() implements EngineEvent {}

  /** The engine dies, with all that it holds. */
  record Crash() implements EngineEvent {}

  /**
   * The engine starts again, empty.
   *
   * @param incarnation its new life
   */
  record Restart(Incarnation incarnation) implements EngineEvent {}

  /** Time has passed. */
  record Tick() implements EngineEvent {}
}
