package org.teaseltrail.runtime.process;

import java.util.concurrent.CancellationException;
import java.util.concurrent.CompletableFuture;
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

  private final ComponentLogger logger = new ComponentLogger("process");
  private final Thread thread;
  private final CompletableFuture<RunningProgram> program = new CompletableFuture<>();

  ShutdownHook() {
    this.thread = new Thread(this::shutDown, "shutdown");
    Runtime.getRuntime().addShutdownHook(thread);
  }

  void onStarted(RunningProgram started) {
    program.complete(started);
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

  private void shutDown() {
    logger.info("Shutting down gracefully.");
    ExitCode exitCode = ExitCode.OK;
    try {
      program.join().close();
      logger.info("Shutdown complete.");
    } catch (CancellationException e) {
      logger.info("The program has not started or has ended before.");
    } catch (RuntimeException e) {
      logger.error("Graceful shutdown failed.", e);
      exitCode = ExitCode.INTERNAL;
    }
    Runtime.getRuntime().halt(exitCode.code());
  }
}
