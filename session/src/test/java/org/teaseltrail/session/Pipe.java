package org.teaseltrail.session;

import java.util.ArrayList;
import java.util.List;

/**
 * Delivers messages in order, as one direction of a TCP connection. It buffers them during a
 * network partition and sends them afterwards.
 */
final class Pipe {

  private final SimulatedCluster cluster;
  private final SimulatedProcess from;
  private final SimulatedProcess to;
  private final int incarnation;
  private final List<Runnable> pending = new ArrayList<>();
  private long lastArrivalNs;

  Pipe(SimulatedProcess from, SimulatedProcess to) {
    this.cluster = from.cluster;
    this.from = from;
    this.to = to;
    this.incarnation = to.incarnation();
  }

  void send(Runnable onArrival) {
    if (cluster.network().isPartitioned(from, to)) {
      pending.add(onArrival);
      cluster.network().addPendingPipe(this);
      return;
    }
    long nowNs = cluster.timeline().nowNs();
    lastArrivalNs = Math.max(lastArrivalNs, nowNs + cluster.network().delayNs());
    cluster.timeline().after(lastArrivalNs - nowNs, () -> to.deliver(incarnation, onArrival));
  }

  void flush() {
    List<Runnable> late = new ArrayList<>(pending);
    pending.clear();
    late.forEach(this::send);
  }
}
