package org.teaseltrail.runtime.process;

import org.teaseltrail.runtime.log.ComponentLogger;

/**
 * Shuts a running program down gracefully on SIGTERM or SIGINT and then exits the process with code
 * 0.
 *
 * <p>By default the JVM exits with code 143, which doesn't distinguish a graceful shutdown from an
 * aborted one. The hook therefore halts the JVM itself after all work in progress has finished.
 */
final class ShutdownHook implements AutoCloseable {

  private final ComponentLogger logger = new ComponentLogger("process");
  private final Thread thread;
  private final RunningProgram program;

  ShutdownHook(RunningProgram program) {
    this.program = program;
    this.thread = new Thread(this::shutDown, "shutdown");
    Runtime.getRuntime().addShutdownHook(thread);
  }

  /** Removes the hook when the program terminates without a signal. */
  @Override
  public void close() {
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
      program.close();
      logger.info("Shutdown complete.");
    } catch (RuntimeException e) {
      logger.error("Graceful shutdown failed.", e);
      exitCode = ExitCode.INTERNAL;
    }
    Runtime.getRuntime().halt(exitCode.code());
  }
}
