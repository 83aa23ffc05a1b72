package org.teaseltrail.standin.model;

import org.teaseltrail.core.id.FencingNumber;
import org.teaseltrail.core.id.RequestId;
import org.teaseltrail.core.upstream.Announcement;
import org.teaseltrail.core.upstream.CacheEvent;

/** Output of the engine model. */
public sealed interface EngineAction {

  /**
   * The request is accepted and its stream is open.
   *
   * @param request the request
   */
  record Accept(RequestId request) implements EngineAction {}

  /**
   * The request is refused.
   *
   * @param request the request
   * @param reason the reason
   */
  record Refuse(RequestId request, EngineRefusal reason) implements EngineAction {}

  /**
   * The engine is down and unreachable.
   *
   * @param request the request that was sent to it
   */
  record Unreachable(RequestId request) implements EngineAction {}

  /**
   * A frame is emitted. A frame in the actions of a resume is for the reader that resumed; any
   * other is for every reader of the stream.
   *
   * @param frame the frame
   */
  record Frame(EngineFrame frame) implements EngineAction {}

  /**
   * The prefill of a request is complete.
   *
   * @param request the request
   * @param cachedTokens prompt tokens read from the prefix cache
   * @param processedTokens prompt tokens that were processed
   */
  record Prefilled(RequestId request, int cachedTokens, int processedTokens)
      implements EngineAction {}

  /**
   * A stream ends without its final frame, as it was cancelled or the engine crashed.
   *
   * @param request the request
   */
  record StreamAborted(RequestId request) implements EngineAction {}

  /**
   * The engine keeps no stream of the request.
   *
   * @param request the request
   */
  record StreamUnknown(RequestId request) implements EngineAction {}

  /** An order is accepted. */
  record OrderAccepted() implements EngineAction {}

  /**
   * An order is refused, as its fencing number is that of an older leadership.
   *
   * @param newest the greatest fencing number received
   */
  record OrderRefused(FencingNumber newest) implements EngineAction {}

  /**
   * A KV cache is exported.
   *
   * @param cache the cache
   */
  record KvExported(KvCache cache) implements EngineAction {}

  /**
   * The announcement is sent to every entry VM.
   *
   * @param announcement the announcement
   */
  record Announce(Announcement announcement) implements EngineAction {}

  /**
   * The cache event is sent to one entry VM.
   *
   * @param event the event
   */
  record PublishCacheEvent(CacheEvent event) implements EngineAction {}

  /** The engine is leaving and has completed all its requests. */
  record Drained() implements EngineAction {}
}
