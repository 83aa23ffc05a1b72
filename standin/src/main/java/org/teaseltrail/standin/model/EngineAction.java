package org.teaseltrail.standin.model;

import org.teaseltrail.core.id.FencingNumber;
import org.teaseltrail.core.id.RequestId;
import org.teaseltrail.core.upstream.Announcement;
import org.teaseltrail.core.upstream.CacheEvent;

/** Is something that an engine does. */
public sealed interface EngineAction {

  /**
   * The request is taken and its stream is open.
   *
   * @param request the request
   */
  record Accept(RequestId request) implements EngineAction {}

  /**
   * The request is refused.
   *
   * @param request the request
   * @param reason why
   */
  record Refuse(RequestId request, EngineRefusal reason) implements EngineAction {}

  /**
   * The engine is down and can't be reached.
   *
   * @param request the request that was to reach it
   */
  record Unreachable(RequestId request) implements EngineAction {}

  /**
   * A frame goes out. A frame that answers a resume is for the reader who asked; any other is for
   * every reader of the stream.
   *
   * @param frame the frame
   */
  record Frame(EngineFrame frame) implements EngineAction {}

  /**
   * The prompt of a request is processed.
   *
   * @param request the request
   * @param cachedTokens prompt tokens that the cache saved
   * @param processedTokens prompt tokens that were processed
   */
  record Prefilled(RequestId request, int cachedTokens, int processedTokens)
      implements EngineAction {}

  /**
   * A stream ends without its end mark: cancelled, or its engine died.
   *
   * @param request the request
   */
  record StreamBroken(RequestId request) implements EngineAction {}

  /**
   * No stream of the request is held.
   *
   * @param request the request
   */
  record StreamUnknown(RequestId request) implements EngineAction {}

  /** An order is taken. */
  record OrderAccepted() implements EngineAction {}

  /**
   * An order is refused as that of an older leadership.
   *
   * @param newest the greatest number seen
   */
  record OrderRefused(FencingNumber newest) implements EngineAction {}

  /**
   * Hands out a KV cache.
   *
   * @param cache the cache
   */
  record KvExported(KvCache cache) implements EngineAction {}

  /**
   * The announcement goes to every entry VM.
   *
   * @param announcement the announcement
   */
  record Announce(Announcement announcement) implements EngineAction {}

  /**
   * The cache event goes to an entry VM.
   *
   * @param event the event
   */
  record PublishCacheEvent(CacheEvent event) implements EngineAction {}

  /** The engine is leaving and has finished all that it had. */
  record Drained() implements EngineAction {}
}
