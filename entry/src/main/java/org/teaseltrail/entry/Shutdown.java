package org.teaseltrail.entry;

import java.util.concurrent.CompletableFuture;

/** Is the way out: the node says when the listener closes and when all has finished. */
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
