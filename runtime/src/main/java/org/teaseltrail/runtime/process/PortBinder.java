package org.teaseltrail.runtime.process;

import java.io.IOException;
import java.net.InetSocketAddress;
import java.util.Optional;
import java.util.concurrent.Callable;
import org.teaseltrail.runtime.log.ComponentLogger;
import org.teaseltrail.runtime.log.EventLog;
import org.teaseltrail.runtime.log.LogEvent;
import org.teaseltrail.runtime.log.LogField;

/**
 * Binds the addresses of one program and retries those that can't be bound yet, such as the port of
 * a process that is being replaced. The time for retries is bounded over all addresses together.
 */
final class PortBinder {

  /** Longer than the 8 s within which a process that is being replaced has to end. */
  static final long MAX_WAIT_MS = 10_000;

  static final long RETRY_MS = 200;

  private final ComponentLogger logger = new ComponentLogger("process");
  private final Optional<EventLog> log;
  private final Pause pause;
  private long waitedMs;

  PortBinder(Optional<EventLog> log, Pause pause) {
    this.log = log;
    this.pause = pause;
  }

  /** Waits between two attempts. */
  interface Pause {
    void await(long durationMs) throws StartCancelledException;
  }

  /** Returns the time waited for addresses so far, in milliseconds. */
  long waitedMs() {
    return waitedMs;
  }

  /**
   * Starts a listener.
   *
   * @param address the address, as shown to the operator
   * @param listener binds the address once and returns what listens on it
   * @throws ProgramException if the address can't be bound in time, or the start was cancelled
   */
  <T> T bind(InetSocketAddress address, Callable<T> listener) throws ProgramException {
    Optional<T> bound = Optional.empty();
    boolean isDelayed = false;
    while (bound.isEmpty()) {
      try {
        bound = Optional.of(listener.call());
      } catch (InterruptedException e) {
        Thread.currentThread().interrupt();
        throw new StartCancelledException();
      } catch (Exception e) {
        IOException cause = bindFailure(e);
        if (waitedMs >= MAX_WAIT_MS) {
          report(LogEvent.LISTEN_FAILED, address, cause.getMessage());
          throw listenFailure(address, cause);
        }
        if (!isDelayed) {
          report(LogEvent.LISTEN_DELAYED, address, cause.getMessage());
        }
        isDelayed = true;
        pause.await(RETRY_MS);
        waitedMs += RETRY_MS;
      }
    }
    if (isDelayed) {
      report(LogEvent.LISTEN_REGAINED, address, "");
    }
    return bound.get();
  }

  /** Returns the cause that may pass; any other failure is thrown. */
  private static IOException bindFailure(Exception failure) throws ProgramException {
    Throwable cause = failure;
    while (cause != null && !(cause instanceof IOException)) {
      cause = cause.getCause();
    }
    if (cause instanceof IOException bindFailure) {
      return bindFailure;
    }
    throw new ProgramException(ExitCode.INTERNAL, StartFailureText.of(failure), failure);
  }

  private static ProgramException listenFailure(InetSocketAddress address, IOException cause) {
    return new ProgramException(
        ExitCode.LISTEN, "can't listen on " + text(address) + ": " + cause.getMessage(), cause);
  }

  private void report(LogEvent event, InetSocketAddress address, String reason) {
    if (log.isEmpty()) {
      String sentence = event.text().replace('_', ' ') + ": " + text(address);
      logger.warn(sentence + (reason.isEmpty() ? "." : ", " + reason + "."));
      return;
    }
    EventLog.Line line = log.get().line(event);
    line.with(LogField.ADDRESS, text(address)).with(LogField.ELAPSED_MS, waitedMs);
    if (!reason.isEmpty()) {
      line.with(LogField.REASON, reason);
    }
    line.write();
  }

  private static String text(InetSocketAddress address) {
    return address.getHostString() + ":" + address.getPort();
  }
}
