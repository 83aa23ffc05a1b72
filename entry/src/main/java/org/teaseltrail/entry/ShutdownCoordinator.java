package org.teaseltrail.entry;

import java.util.concurrent.CompletableFuture;

/**
 * Coordinates the shutdown: the node decides when the listener closes and when all requests have
 * finished.
 */
final class ShutdownCoordinator {

  private final CompletableFuture<Void> markFinished = new CompletableFuture<>();
  private volatile Runnable closeListener = () -> {};

  void setListenerCloser(Runnable listenerCloser) {
    closeListener = listenerCloser;
  }

  void closeListener() {
    closeListener.run();
  }

  void markFinished() {
    markFinished.complete(null);
  }

  CompletableFuture<Void> whenFinished() {
    return markFinished;
  }
}
