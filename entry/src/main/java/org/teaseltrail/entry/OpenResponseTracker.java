package org.teaseltrail.entry;

import java.util.concurrent.TimeUnit;
import java.util.concurrent.locks.Condition;
import java.util.concurrent.locks.ReentrantLock;
import reactor.core.publisher.Mono;

/**
 * Tracks the responses that are still being written to callers.
 *
 * <p>A shutdown waits for them: the node may have received a complete response that a slow caller
 * hasn't read yet, and the end of it would otherwise be lost.
 */
final class OpenResponseTracker {

  private final ReentrantLock lock = new ReentrantLock();
  private final Condition noneOpen = lock.newCondition();
  private int openCount;

  /** Tracks a response from its subscription until it is written or its caller has disconnected. */
  Mono<Void> track(Mono<Void> response) {
    return Mono.defer(
        () -> {
          add(1);
          return response.doFinally(end -> add(-1));
        });
  }

  private void add(int change) {
    lock.lock();
    try {
      openCount += change;
      if (openCount == 0) {
        noneOpen.signalAll();
      }
    } finally {
      lock.unlock();
    }
  }

  /**
   * Waits until no response is being written.
   *
   * @return whether all responses were finished within the timeout
   */
  boolean awaitAllWritten(long timeoutMs) {
    long remainingNs = TimeUnit.MILLISECONDS.toNanos(timeoutMs);
    lock.lock();
    try {
      while (openCount > 0 && remainingNs > 0) {
        remainingNs = noneOpen.awaitNanos(remainingNs);
      }
      return openCount == 0;
    } catch (InterruptedException e) {
      Thread.currentThread().interrupt();
      return false;
    } finally {
      lock.unlock();
    }
  }
}
