package org.teaseltrail.session;

import java.util.ArrayList;
import java.util.List;

/**
 * Carries messages one way and in order, as one direction of a TCP connection: while the way is cut
 * it keeps them and sends them again afterwards.
 */
final class Pipe {

  private final SessionWorld world;
  private final FakeProcess from;
  private final FakeProcess to;
  private final int life;
  private final List<Runnable> kept = new ArrayList<>();
  private long lastArrivalNs;

  Pipe(FakeProcess from, FakeProcess to) {
    this.world = from.world;
    this.from = from;
    this.to = to;
    this.life = to.life();
  }

  void send(Runnable arrival) {
    if (world.network().isCut(from, to)) {
      kept.add(arrival);
      world.network().holds(this);
      return;
    }
    long nowNs = world.timeline().nowNs();
    lastArrivalNs = Math.max(lastArrivalNs, nowNs + world.network().delayNs());
    world.timeline().after(lastArrivalNs - nowNs, () -> to.deliver(life, arrival));
  }

  void flush() {
    List<Runnable> late = new ArrayList<>(kept);
    kept.clear();
    late.forEach(this::send);
  }
}
