package org.teaseltrail.core.forward;

import java.util.Optional;
import java.util.function.IntSupplier;

/**
 * Limits the length of a queue by the rate at which it is served.
 *
 * <p>Without a limit the queue grows while there is more load than capacity, and each request in it
 * is held until its caller disconnects without an answer that the caller could act on. Requests
 * that can't be served at the current rate before their callers give up are refused at once, the
 * least urgent first.
 */
final class QueueLengthLimiter {

  /**
   * Retry-after for a caller whose request found no slot, in milliseconds: about the duration of a
   * short response.
   */
  static final long NO_SLOT_RETRY_MS = 400;

  /**
   * Maximum retry-after, in milliseconds: a third of the shortest deadline of callers that honour
   * it.
   */
  private static final long MAX_RETRY_AFTER_MS = 1_500;

  /** Minimum assumed rate, so that the queue of a service that has just recovered isn't shed. */
  private static final double MIN_RATE_PER_S = 4;

  /**
   * Requests per second that one slot is assumed to serve at least: streams occupy a slot for 0.2
   * to 1.3 s. It applies while a queue has no measured rate, as after a start.
   */
  private static final double RATE_OF_SLOT_PER_S = 2;

  /** Number of requests that may be queued whatever the rate. */
  private static final int MIN_QUEUE_LENGTH = 4;

  private static final double MS_PER_S = 1e3;

  /**
   * Number of requests that may be queued for upstreams that tolerate few rejections: all their
   * slots are granted by the leader, so that the queues of many VMs add up.
   */
  private static final int MIN_GRANTED_QUEUE_LENGTH = 1;

  /** Minimum assumed rate of such a queue. */
  private static final double MIN_GRANTED_RATE_PER_S = 1;

  private final RequestQueue waiting;
  private final IntSupplier ownSlots;
  private final boolean isGrantedOnly;

  /**
   * Creates the limit of a queue.
   *
   * @param waiting the queue
   * @param ownSlots returns the number of the service's slots that this VM may use without a
   *     leader; called only for a queue that may be too long
   * @param isGrantedOnly whether requests are sent to granted slots only, so that the measured rate
   *     applies
   */
  QueueLengthLimiter(RequestQueue waiting, IntSupplier ownSlots, boolean isGrantedOnly) {
    this.waiting = waiting;
    this.ownSlots = ownSlots;
    this.isGrantedOnly = isGrantedOnly;
  }

  /** Returns the least urgent request if the queue is too long. */
  Optional<ActiveRequest> findExcess(long nowNs) {
    int minLength = isGrantedOnly ? MIN_GRANTED_QUEUE_LENGTH : MIN_QUEUE_LENGTH;
    if (waiting.size() <= minLength) {
      return Optional.empty();
    }
    return waiting
        .leastUrgent()
        .filter(leastUrgent -> waiting.size() > ratePerSecond(nowNs) * leastUrgent.maxQueueWaitS());
  }

  /** Returns the retry-after for a request that the queue is too long for, in milliseconds. */
  long retryAfterMs(long nowNs) {
    long drainTimeMs = (long) (waiting.size() / ratePerSecond(nowNs) * MS_PER_S);
    return Math.max(NO_SLOT_RETRY_MS, Math.min(MAX_RETRY_AFTER_MS, drainTimeMs));
  }

  private double ratePerSecond(long nowNs) {
    if (isGrantedOnly) {
      return Math.max(MIN_GRANTED_RATE_PER_S, waiting.dispatchesPerSecond(nowNs));
    }
    double expected = Math.max(MIN_RATE_PER_S, RATE_OF_SLOT_PER_S * ownSlots.getAsInt());
    return Math.max(expected, waiting.dispatchesPerSecond(nowNs));
  }
}
