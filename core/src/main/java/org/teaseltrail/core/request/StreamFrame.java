package org.teaseltrail.core.request;

import org.teaseltrail.core.id.RequestId;
import org.teaseltrail.core.message.Usage;

/** Is one line of an engine's stream. */
public sealed interface StreamFrame {

  /** Returns the request that the engine says the frame belongs to. */
  RequestId stream();

  /** Returns the frame's number in its stream, from zero. */
  long sequence();

  /**
   * Carries text of the answer.
   *
   * @param stream the request it belongs to
   * @param sequence its number
   * @param text the text
   */
  record Text(RequestId stream, long sequence, String text) implements StreamFrame {}

  /**
   * Marks the end of a whole answer.
   *
   * @param stream the request it belongs to
   * @param sequence its number
   * @param usage the work done
   */
  record End(RequestId stream, long sequence, Usage usage) implements StreamFrame {}

  /**
   * Tells that the engine failed after the start.
   *
   * @param stream the request it belongs to
   * @param sequence its number
   */
  record Failure(RequestId stream, long sequence) implements StreamFrame {}
}
