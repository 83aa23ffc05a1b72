package org.teaseltrail.runtime.process;

import sun.misc.Signal;
import sun.misc.SignalHandler;

/**
 * Runs an action on SIGHUP, the signal by which operators announce that the settings file has
 * changed. A signal that arrives before there is an action is remembered.
 *
 * <p>Without a handler, the JVM terminates on SIGHUP, which would abort requests in flight, or the
 * start of the process.
 */
final class ReloadSignalHandler implements AutoCloseable {

  private static final Signal SIGHUP = new Signal("HUP");

  private final SignalHandler before;
  private Runnable action;
  private boolean pending;

  ReloadSignalHandler() {
    before = Signal.handle(SIGHUP, signal -> onSignal());
  }

  /** Runs the action on each signal from now on, and at once if one has arrived before. */
  synchronized void setAction(Runnable newAction) {
    action = newAction;
    if (pending) {
      pending = false;
      action.run();
    }
  }

  synchronized boolean hasPendingSignal() {
    return pending;
  }

  @Override
  public void close() {
    Signal.handle(SIGHUP, before);
  }

  private synchronized void onSignal() {
    if (action == null) {
      pending = true;
    } else {
      action.run();
    }
  }
}
