package org.teaseltrail.entry;

import java.util.concurrent.TimeUnit;
import java.util.concurrent.locks.Condition;
import java.util.concurrent.locks.ReentrantLock;
import reactor.core.publisher.Mono;

/**
 * Counts the answers that are still being written to callers.
 *
 * <p>Guards against a shutdown that cuts off the end of an answer: the node has the whole of it,
 * but a caller who reads slowly doesn't yet.
 */
final class OpenResponses {

  private final ReentrantLock lock = new ReentrantLock();
  private final Condition none = lock.newCondition();
  private int open;

  /** Counts an answer from now until it is written or its caller is gone. */
  Mono<Void> count(Mono<Void> answer) {
    return Mono.defer(
        () -> {
          add(1);
          return answer.doFinally(end -> add(-1));
        });
  }

  private void add(int change) {
    lock.lock();
    try {
      open += change;
      if (open == 0) {
        none.signalAll();
      }
    } finally {
      lock.unlock();
    }
  }

  /**
   * Waits until no answer is being written.
   *
   * @return whether that came within the time
   */
  boolean awaitNone(long timeoutMs) {
    long leftNs = TimeUnit.MILLISECONDS.toNanos(timeoutMs);
    lock.lock();
    try {
      while (open > 0 && leftNs > 0) {
        leftNs = none.awaitNanos(leftNs);
      }
      return open == 0;
    } catch (InterruptedException e) {
      Thread.currentThread().interrupt();
      return false;
    } finally {
      lock.unlock();
    }
  }
}
