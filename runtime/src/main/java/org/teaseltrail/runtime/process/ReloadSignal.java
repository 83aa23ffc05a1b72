package org.teaseltrail.runtime.process;

import sun.misc.Signal;
import sun.misc.SignalHandler;

/**
 * Runs a step on SIGHUP, by which operators say that the settings file has changed.
 *
 * <p>Guards against a program that ends by it: that is what a JVM does with SIGHUP if nobody takes
 * it, and callers would see their requests cut.
 */
final class ReloadSignal implements AutoCloseable {

  private static final Signal HANG_UP = new Signal("HUP");

  private final SignalHandler before;

  ReloadSignal(Runnable step) {
    before = Signal.handle(HANG_UP, signal -> step.run());
  }

  @Override
  public void close() {
    Signal.handle(HANG_UP, before);
  }
}
