package org.teaseltrail.runtime.process;

import java.time.Duration;
import java.util.concurrent.CompletableFuture;
import org.teaseltrail.runtime.settings.Settings;

/** Daemon that has been started; closing it shuts it down gracefully. */
public interface RunningProgram extends AutoCloseable {

  /**
   * Returns a future that completes with the exit code when the program terminates without being
   * closed.
   *
   * @return the future; not complete while the program serves
   */
  CompletableFuture<ExitCode> terminationFuture();

  /**
   * Applies changed settings as far as the program supports it at run time. By default it applies
   * none.
   *
   * @param settings the changed settings, validated
   */
  default void reload(Settings settings) {}

  /** Shuts the program down gracefully and returns when no work is in progress. */
  @Override
  void close();

  /**
   * Shuts the program down as {@link #close()} does, some time after the termination signal. A
   * program that knows when it will be killed counts that time.
   *
   * @param sinceSignal time since the termination signal
   */
  default void close(Duration sinceSignal) {
    close();
  }
}
