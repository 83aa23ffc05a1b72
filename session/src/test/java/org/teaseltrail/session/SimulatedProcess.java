package org.teaseltrail.session;

import java.util.ArrayDeque;
import java.util.Deque;
import java.util.OptionalLong;

/**
 * Simulated operating system process. It can be started, killed, paused and unpaused, and its clock
 * has its own offset and drift.
 */
abstract class SimulatedProcess {

  private static final double MAX_CLOCK_DRIFT = 0.01;
  private static final long MAX_CLOCK_OFFSET_NS = 1_000_000_000_000L;
  private static final long ROUNDING_NS = 1_000;

  final SimulatedCluster cluster;
  private final String name;
  private final long offsetNs;
  private final double rate;
  private final Deque<Runnable> held = new ArrayDeque<>();
  private int incarnation;
  private boolean up;
  private boolean paused;
  private long wakeupNs = Long.MAX_VALUE;

  SimulatedProcess(SimulatedCluster cluster, String name) {
    this.cluster = cluster;
    this.name = name;
    this.offsetNs = cluster.random().nextLong(MAX_CLOCK_OFFSET_NS);
    this.rate = 1 + (cluster.random().nextDouble() * 2 - 1) * MAX_CLOCK_DRIFT;
  }

  /** Creates the state machine for a new incarnation of the process. */
  abstract void onStart();

  /** Closes the connections that the kernel closes when a process dies. */
  abstract void onKill();

  abstract OptionalLong nextWakeupNs();

  abstract void tick();

  String name() {
    return name;
  }

  int incarnation() {
    return incarnation;
  }

  boolean isRunning() {
    return up;
  }

  boolean isPaused() {
    return paused;
  }

  long localNs() {
    return offsetNs + (long) (cluster.timeline().nowNs() * rate);
  }

  void start() {
    if (!up) {
      up = true;
      wakeupNs = Long.MAX_VALUE;
      onStart();
      tick();
    }
  }

  void kill() {
    if (up) {
      up = false;
      paused = false;
      incarnation++;
      held.clear();
      onKill();
    }
  }

  void pause() {
    paused = up;
  }

  void unpause() {
    paused = false;
    while (!paused && !held.isEmpty()) {
      held.removeFirst().run();
    }
    if (up) {
      tick();
    }
  }

  /**
   * Runs a step in the given incarnation: at once, or when a paused process continues. The step is
   * dropped if that incarnation has ended.
   */
  void deliver(int expectedIncarnation, Runnable step) {
    if (!up || incarnation != expectedIncarnation) {
      return;
    }
    if (paused) {
      held.addLast(step);
    } else {
      step.run();
    }
  }

  void schedule(long delayNs, Runnable step) {
    int expectedIncarnation = incarnation;
    cluster.timeline().after(delayNs, () -> deliver(expectedIncarnation, step));
  }

  /** Schedules the state machine's next wake-up; must be called after each event. */
  void scheduleWakeup() {
    OptionalLong wanted = up ? nextWakeupNs() : OptionalLong.empty();
    if (wanted.isEmpty() || wanted.getAsLong() >= wakeupNs) {
      return;
    }
    long atNs = wanted.getAsLong();
    wakeupNs = atNs;
    long delayNs = (long) ((atNs - localNs()) / rate) + ROUNDING_NS;
    schedule(delayNs, () -> wake(atNs));
  }

  private void wake(long atNs) {
    if (wakeupNs == atNs) {
      wakeupNs = Long.MAX_VALUE;
      tick();
    }
  }
}
