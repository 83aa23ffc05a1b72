package org.teaseltrail.runtime.process;

import java.util.concurrent.CompletableFuture;
import org.teaseltrail.runtime.settings.Settings;

/** Is a daemon that has started. Closing it ends it gracefully. */
public interface RunningProgram extends AutoCloseable {

  /**
   * Returns a future that completes once the program has ended by itself, with its exit code.
   *
   * @return the future; never completes while the program serves
   */
  CompletableFuture<ExitCode> ended();

  /**
   * Takes changed settings over, as far as the program can while it runs. By default it takes none.
   *
   * @param settings the changed settings, checked
   */
  default void reload(Settings settings) {}

  /** Ends the program gracefully and returns once nothing of it is in progress. */
  @Override
  void close();
}
