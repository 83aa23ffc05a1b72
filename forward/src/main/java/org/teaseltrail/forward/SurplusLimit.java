package org.teaseltrail.forward;

/**
 * Limits what an upstream may send for one request that is no part of its answer: early answers,
 * and answers to other requests. Without it, an upstream that sends these without end would be read
 * until the request's deadline.
 */
final class SurplusLimit {

  /** Early answers may come as a sign of life, some each second. */
  private static final int MAX_HEADS = 100;

  /** As much as an answer that is buffered may have. */
  private static final long MAX_BODY_BYTES = Exchange.MAX_RESPONSE_BYTES;

  private int heads;
  private long bodyBytes;

  /** Starts anew for another request. */
  void reset() {
    heads = 0;
    bodyBytes = 0;
  }

  /** Counts the head of an answer that isn't used. */
  void addHead() {
    heads++;
  }

  /** Counts a part of the body of such an answer. */
  void addBody(int bytes) {
    bodyBytes += bytes;
  }

  /** Returns whether the upstream has sent more than it may. */
  boolean isPassed() {
    return heads > MAX_HEADS || bodyBytes > MAX_BODY_BYTES;
  }
}
