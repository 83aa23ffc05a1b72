package org.teaseltrail.runtime.process;

import org.teaseltrail.runtime.log.PartLogger;

/**
 * Ends a running program gracefully on SIGTERM or SIGINT, then the process with exit code 0.
 *
 * <p>The JVM would end with 143 and could not tell a graceful end from a cut one; so the hook halts
 * the JVM itself once all that was in progress has finished.
 */
final class ShutdownHook implements AutoCloseable {

  private final PartLogger logger = new PartLogger("process");
  private final Thread thread;
  private final RunningProgram program;

  ShutdownHook(RunningProgram program) {
    this.program = program;
    this.thread = new Thread(this::shutDown, "shutdown");
    Runtime.getRuntime().addShutdownHook(thread);
  }

  /** Takes the hook away, for a program that ends by itself. */
  @Override
  public void close() {
    try {
      Runtime.getRuntime().removeShutdownHook(thread);
    } catch (IllegalStateException e) {
      // The JVM is shutting down already: the hook runs, and decides the exit code.
      logger.debug(() -> "Shutdown has begun: " + e.getMessage() + ".");
    }
  }

  private void shutDown() {
    logger.info("Shuts down gracefully.");
    ExitCode exitCode = ExitCode.OK;
    try {
      program.close();
      logger.info("Has shut down.");
    } catch (RuntimeException e) {
      logger.error("Graceful shutdown failed.", e);
      exitCode = ExitCode.INTERNAL;
    }
    Runtime.getRuntime().halt(exitCode.code());
  }
}
