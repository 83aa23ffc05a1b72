package org.teaseltrail.runtime.process;

import java.net.InetSocketAddress;
import java.util.ArrayDeque;
import java.util.Deque;
import java.util.Optional;
import java.util.concurrent.Callable;
import java.util.function.Consumer;
import org.teaseltrail.runtime.log.ComponentLogger;
import org.teaseltrail.runtime.log.EventLog;

/**
 * Opens the listeners and other resources of a program one after the other. Unless the start {@link
 * #complete() completes}, closing the sequence closes what it has opened, the latest first, so that
 * no part of a failed start runs on.
 *
 * <p>An address that can't be bound is retried for some seconds, over all addresses of the sequence
 * together: the process that this one replaces may not have ended yet.
 *
 * <p>Example: {@code try (StartSequence start = new StartSequence(log)) { api = start.listen(
 * address, () -> new Api(address), Api::close); start.complete(); }}
 */
public final class StartSequence implements AutoCloseable {

  private final ComponentLogger logger = new ComponentLogger("process");
  private final PortBinder ports;
  private final Deque<Runnable> closers = new ArrayDeque<>();

  /**
   * Creates a sequence.
   *
   * @param log receives a line when an address can't be bound, and when it is bound or given up; if
   *     empty, the program's component log does
   */
  public StartSequence(Optional<EventLog> log) {
    ports = new PortBinder(log, StartPause::await);
  }

  /**
   * Starts a listener.
   *
   * @param address the address
   * @param listener binds the address and returns what listens on it; called once per attempt
   * @param closer closes the listener if the start fails later
   * @return the listener
   * @throws ProgramException if the address can't be bound in time, with {@link ExitCode#LISTEN},
   *     or if the process is being shut down
   */
  public <T> T listen(InetSocketAddress address, Callable<T> listener, Consumer<T> closer)
      throws ProgramException {
    T bound = ports.bind(address, listener);
    onFailure(() -> closer.accept(bound));
    return bound;
  }

  /**
   * Returns whether an address could not be bound at once.
   *
   * @return true if another process may have run while this one was starting
   */
  public boolean hasWaited() {
    return ports.waitedMs() > 0;
  }

  /**
   * Adds a resource that has been opened.
   *
   * @param closer closes it if the start fails later
   */
  public void onFailure(Runnable closer) {
    closers.push(closer);
  }

  /** Leaves the resources open: the start has succeeded, and the program owns them. */
  public void complete() {
    closers.clear();
  }

  /** Closes the resources unless the start has completed; also in an interrupted thread. */
  @Override
  public void close() {
    // Listeners can't be closed by an interrupted thread.
    boolean isInterrupted = Thread.interrupted();
    while (!closers.isEmpty()) {
      closeQuietly(closers.pop());
    }
    if (isInterrupted) {
      Thread.currentThread().interrupt();
    }
  }

  private void closeQuietly(Runnable closer) {
    try {
      closer.run();
    } catch (RuntimeException e) {
      logger.error("A part of a start that failed could not be closed.", e);
    }
  }
}
