package org.teaseltrail.runtime.process;

import java.time.Duration;
import java.util.Optional;
import java.util.concurrent.CancellationException;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.ExecutionException;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.TimeoutException;
import org.teaseltrail.runtime.log.ComponentLogger;

/**
 * Shuts a program down gracefully on SIGTERM or SIGINT and then exits the process with code 0. If
 * the program is still starting, it is shut down as soon as it has started: it may have accepted
 * requests by then.
 *
 * <p>By default the JVM exits with code 143, which doesn't distinguish a graceful shutdown from an
 * aborted one. The hook therefore halts the JVM itself after all work in progress has finished.
 */
final class ShutdownHook implements AutoCloseable {

  /** Time for which a shutdown waits for a start, which may be retried for ever. */
  private static final long START_TIMEOUT_MS = 2_000;

  private final ComponentLogger logger = new ComponentLogger("process");
  private final ProcessLog processLog;
  private final Thread thread;
  private final CompletableFuture<RunningProgram> program = new CompletableFuture<>();

  ShutdownHook(ProcessLog processLog) {
    this.processLog = processLog;
    this.thread = new Thread(this::shutDown, "shutdown");
    Runtime.getRuntime().addShutdownHook(thread);
  }

  void onStarted(RunningProgram started) {
    program.complete(started);
  }

  boolean hasStarted() {
    return program.isDone();
  }

  /** Removes the hook when the program terminates without a signal, or has not started. */
  @Override
  public void close() {
    program.cancel(false);
    try {
      Runtime.getRuntime().removeShutdownHook(thread);
    } catch (IllegalStateException e) {
      // The JVM is already shutting down: the hook runs and determines the exit code.
      logger.debug(() -> "Shutdown is already in progress: " + e.getMessage() + ".");
    }
  }

  /** Returns the program, or empty if it has ended, or has not started within a time. */
  Optional<RunningProgram> awaitStart(long timeoutMs) {
    try {
      return Optional.of(program.get(timeoutMs, TimeUnit.MILLISECONDS));
    } catch (InterruptedException e) {
      Thread.currentThread().interrupt();
      return Optional.empty();
    } catch (CancellationException | ExecutionException | TimeoutException e) {
      return Optional.empty();
    }
  }

  /** Shuts a program down that may have started only after the signal. */
  static void stop(RunningProgram running, long signalNs) {
    running.close(Duration.ofNanos(System.nanoTime() - signalNs));
  }

  private void shutDown() {
    long signalNs = System.nanoTime();
    ExitCode exitCode =
        awaitStart(START_TIMEOUT_MS)
            .map(running -> closeProgram(running, signalNs))
            .orElseGet(this::endBeforeStart);
    Runtime.getRuntime().halt(exitCode.code());
  }

  private ExitCode closeProgram(RunningProgram started, long signalNs) {
    logger.info("Shutting down gracefully.");
    try {
      stop(started, signalNs);
      logger.info("Shutdown complete.");
      return ExitCode.OK;
    } catch (RuntimeException e) {
      logger.error("Graceful shutdown failed.", e);
      return ExitCode.INTERNAL;
    }
  }

  /** Ends without the logging library, which the main thread may be loading. */
  private ExitCode endBeforeStart() {
    processLog.stoppedBeforeStart();
    return ExitCode.OK;
  }
}
