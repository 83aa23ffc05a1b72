package org.teaseltrail.core.request;

import org.teaseltrail.core.id.RequestId;
import org.teaseltrail.core.message.Usage;

/** Frame of an engine's answer stream, transmitted as one line. */
public sealed interface StreamFrame {

  /** Returns the request to which the frame belongs, as stated by the engine. */
  RequestId stream();

  /** Returns the sequence number of the frame in its stream, starting at zero. */
  long sequence();

  /**
   * Frame with text of the answer.
   *
   * @param stream the request it belongs to
   * @param sequence its sequence number
   * @param text the text
   */
  record Text(RequestId stream, long sequence, String text) implements StreamFrame {}

  /**
   * Last frame of a complete answer.
   *
   * @param stream the request it belongs to
   * @param sequence its sequence number
   * @param usage tokens processed for the request
   */
  record End(RequestId stream, long sequence, Usage usage) implements StreamFrame {}

  /**
   * Frame by which the engine reports that it failed after the answer had started.
   *
   * @param stream the request it belongs to
   * @param sequence its sequence number
   */
  record Failure(RequestId stream, long sequence) implements StreamFrame {}
}
