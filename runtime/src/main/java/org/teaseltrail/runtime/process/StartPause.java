package org.teaseltrail.runtime.process;

import java.util.concurrent.CountDownLatch;
import java.util.concurrent.TimeUnit;

/** Waits between two attempts of a start; ends at once when the process is being shut down. */
public final class StartPause {

  private StartPause() {}

  /**
   * Waits.
   *
   * @param durationMs the time to wait, in milliseconds
   * @throws StartCancelledException if the process is being shut down or the thread is interrupted
   */
  public static void await(long durationMs) throws StartCancelledException {
    CountDownLatch shutdown = new CountDownLatch(1);
    Thread hook = new Thread(shutdown::countDown, "start-pause");
    try {
      Runtime.getRuntime().addShutdownHook(hook);
      boolean isShutDown = shutdown.await(durationMs, TimeUnit.MILLISECONDS);
      if (isShutDown || !Runtime.getRuntime().removeShutdownHook(hook)) {
        throw new StartCancelledException();
      }
    } catch (InterruptedException e) {
      Runtime.getRuntime().removeShutdownHook(hook);
      Thread.currentThread().interrupt();
      throw new StartCancelledException();
    } catch (IllegalStateException e) {
      // Hooks can't be added or removed any more: the JVM is shutting down.
      throw new StartCancelledException();
    }
  }
}
