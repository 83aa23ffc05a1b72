package org.teaseltrail.runtime.process;

import sun.misc.Signal;
import sun.misc.SignalHandler;

/**
 * Runs an action on SIGHUP, the signal by which operators announce that the settings file has
 * changed.
 *
 * <p>Without a handler, the JVM terminates on SIGHUP, which would abort requests in flight.
 */
final class ReloadSignalHandler implements AutoCloseable {

  private static final Signal SIGHUP = new Signal("HUP");

  private final SignalHandler before;

  ReloadSignalHandler(Runnable step) {
    before = Signal.handle(SIGHUP, signal -> step.run());
  }

  @Override
  public void close() {
    Signal.handle(SIGHUP, before);
  }
}
