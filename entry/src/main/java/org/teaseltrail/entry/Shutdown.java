package org.teaseltrail.entry;

import java.util.concurrent.CompletableFuture;

/**
 * Coordinates the shutdown: the node decides when the listener closes and when all requests have
 * finished.
 */
final class Shutdown {

  private final CompletableFuture<Void> finished = new CompletableFuture<>();
  private volatile Runnable closeListener = () -> {};

  void onCloseListener(Runnable closes) {
    closeListener = closes;
  }

  void closeListener() {
    closeListener.run();
  }

  void finished() {
    finished.complete(null);
  }

  CompletableFuture<Void> whenFinished() {
    return finished;
  }
}
