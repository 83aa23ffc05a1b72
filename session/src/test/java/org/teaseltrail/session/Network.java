package org.teaseltrail.session;

import java.util.ArrayList;
import java.util.HashSet;
import java.util.LinkedHashSet;
import java.util.List;
import java.util.Set;

/** Knows which ways between processes are cut, and how long a message takes. */
final class Network {

  private static final long FIXED_NS = Timeline.MS;
  private static final long SLOW_NS = 250 * Timeline.MS;
  private static final int SLOW_PERCENT = 2;
  private static final int DOUBLED_PERCENT = 2;

  private record Way(String from, String to) {}

  private final SessionWorld world;
  private final boolean jitter;
  private final Set<Way> cuts = new HashSet<>();
  private final Set<Pipe> holding = new LinkedHashSet<>();

  Network(SessionWorld world, boolean jitter) {
    this.world = world;
    this.jitter = jitter;
  }

  void cutOneWay(FakeProcess from, FakeProcess to) {
    cuts.add(new Way(from.name(), to.name()));
  }

  void cut(FakeProcess one, FakeProcess other) {
    cutOneWay(one, other);
    cutOneWay(other, one);
  }

  void heal() {
    cuts.clear();
    sendKept();
  }

  /** Heals the ways from and to one process. */
  void heal(FakeProcess process) {
    cuts.removeIf(way -> way.from().equals(process.name()) || way.to().equals(process.name()));
    sendKept();
  }

  /** Sends what connections have kept meanwhile; what still can't pass is kept again. */
  private void sendKept() {
    List<Pipe> pipes = new ArrayList<>(holding);
    holding.clear();
    pipes.forEach(Pipe::flush);
  }

  boolean isCut(FakeProcess from, FakeProcess to) {
    return cuts.contains(new Way(from.name(), to.name()));
  }

  void holds(Pipe pipe) {
    holding.add(pipe);
  }

  long delayNs() {
    if (!jitter) {
      return FIXED_NS;
    }
    boolean slow = world.random().nextInt(100) < SLOW_PERCENT;
    return world.random().nextLong(Timeline.MS / 5, slow ? SLOW_NS : 4 * Timeline.MS);
  }

  /** Sends a message that may get lost, doubled and overtaken. */
  void datagram(FakeProcess from, FakeProcess to, Runnable arrival) {
    if (isCut(from, to)) {
      return;
    }
    boolean doubled = jitter && world.random().nextInt(100) < DOUBLED_PERCENT;
    for (int copy = doubled ? 0 : 1; copy < 2; copy++) {
      int life = to.life();
      world.timeline().after(delayNs(), () -> to.deliver(life, arrival));
    }
  }
}
