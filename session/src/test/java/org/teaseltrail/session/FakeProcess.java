package org.teaseltrail.session;

import java.util.ArrayDeque;
import java.util.Deque;
import java.util.OptionalLong;

/** Is a process with a clock of its own. It can be killed, started, frozen and thawed. */
abstract class FakeProcess {

  private static final double MAX_DRIFT = 0.01;
  private static final long MAX_OFFSET_NS = 1_000_000_000_000L;
  private static final long ROUNDING_NS = 1_000;

  final SessionWorld world;
  private final String name;
  private final long offsetNs;
  private final double rate;
  private final Deque<Runnable> held = new ArrayDeque<>();
  private int life;
  private boolean up;
  private boolean frozen;
  private long wakeupNs = Long.MAX_VALUE;

  FakeProcess(SessionWorld world, String name) {
    this.world = world;
    this.name = name;
    this.offsetNs = world.random().nextLong(MAX_OFFSET_NS);
    this.rate = 1 + (world.random().nextDouble() * 2 - 1) * MAX_DRIFT;
  }

  /** Makes the role's object for a new life. */
  abstract void begin();

  /** Ends what the kernel ends when a process dies. */
  abstract void ended();

  abstract OptionalLong nextWakeupNs();

  abstract void tick();

  String name() {
    return name;
  }

  int life() {
    return life;
  }

  boolean isUp() {
    return up;
  }

  boolean isFrozen() {
    return frozen;
  }

  long localNs() {
    return offsetNs + (long) (world.timeline().nowNs() * rate);
  }

  void start() {
    if (!up) {
      up = true;
      wakeupNs = Long.MAX_VALUE;
      begin();
      tick();
    }
  }

  void kill() {
    if (up) {
      up = false;
      frozen = false;
      life++;
      held.clear();
      ended();
    }
  }

  void freeze() {
    frozen = up;
  }

  void thaw() {
    frozen = false;
    while (!frozen && !held.isEmpty()) {
      held.removeFirst().run();
    }
    if (up) {
      tick();
    }
  }

  /** Runs a step if the given life goes on, at once or when the process thaws. */
  void deliver(int ofLife, Runnable step) {
    if (!up || life != ofLife) {
      return;
    }
    if (frozen) {
      held.addLast(step);
    } else {
      step.run();
    }
  }

  void later(long delayNs, Runnable step) {
    int ofLife = life;
    world.timeline().after(delayNs, () -> deliver(ofLife, step));
  }

  /** Looks at the role's next wake-up again; to be called after each event. */
  void rearm() {
    OptionalLong wanted = up ? nextWakeupNs() : OptionalLong.empty();
    if (wanted.isEmpty() || wanted.getAsLong() >= wakeupNs) {
      return;
    }
    long atNs = wanted.getAsLong();
    wakeupNs = atNs;
    long delayNs = (long) ((atNs - localNs()) / rate) + ROUNDING_NS;
    later(delayNs, () -> wake(atNs));
  }

  private void wake(long atNs) {
    if (wakeupNs == atNs) {
      wakeupNs = Long.MAX_VALUE;
      tick();
    }
  }
}
