package org.teaseltrail.session;

import java.util.ArrayList;
import java.util.List;

/**
 * Delivers messages in order, as one direction of a TCP connection. It buffers them during a
 * network partition and sends them afterwards.
 */
final class Pipe {

  private final SessionWorld world;
  private final FakeProcess from;
  private final FakeProcess to;
  private final int life;
  private final List<Runnable> pending = new ArrayList<>();
  private long lastArrivalNs;

  Pipe(FakeProcess from, FakeProcess to) {
    this.world = from.world;
    this.from = from;
    this.to = to;
    this.life = to.life();
  }

  void send(Runnable onArrival) {
    if (world.network().isCut(from, to)) {
      pending.add(onArrival);
      world.network().holds(this);
      return;
    }
    long nowNs = world.timeline().nowNs();
    lastArrivalNs = Math.max(lastArrivalNs, nowNs + world.network().delayNs());
    world.timeline().after(lastArrivalNs - nowNs, () -> to.deliver(life, onArrival));
  }

  void flush() {
    List<Runnable> late = new ArrayList<>(pending);
    pending.clear();
    late.forEach(this::send);
  }
}
