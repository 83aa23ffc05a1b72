package org.teaseltrail.control;

import java.util.concurrent.TimeUnit;
import java.util.function.BiConsumer;

/**
 * Logs why a data folder can't be used: with the exception when a cause first occurs, and then in a
 * line each minute with the number of attempts since.
 */
final class FolderFailureLogger {

  private static final long REPEAT_INTERVAL_NS = TimeUnit.MINUTES.toNanos(1);

  private final BiConsumer<String, Throwable> withCause;
  private String lastMessage = "";
  private long loggedNs;
  private int attempts;

  /** Creates a logger on top of one that takes a sentence and an exception, which may be null. */
  FolderFailureLogger(BiConsumer<String, Throwable> withCause) {
    this.withCause = withCause;
  }

  /** Reports an attempt that failed. */
  void failed(Exception failure, long nowNs) {
    attempts++;
    String message = String.valueOf(failure.getMessage());
    if (!message.equals(lastMessage)) {
      write("The data folder can't be used; retrying.", failure, nowNs);
      lastMessage = message;
    } else if (nowNs - loggedNs >= REPEAT_INTERVAL_NS) {
      write(
          "The data folder still can't be used after " + attempts + " more attempts: " + message,
          null,
          nowNs);
    }
  }

  private void write(String sentence, Exception failure, long nowNs) {
    withCause.accept(sentence, failure);
    loggedNs = nowNs;
    attempts = 0;
  }
}
