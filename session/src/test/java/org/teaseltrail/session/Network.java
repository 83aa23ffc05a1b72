package org.teaseltrail.session;

import java.util.ArrayList;
import java.util.HashSet;
import java.util.LinkedHashSet;
import java.util.List;
import java.util.Set;

/** Simulated network with one-way partitions, message delays and duplicated datagrams. */
final class Network {

  private static final long FIXED_DELAY_NS = Timeline.MS;
  private static final long MAX_SLOW_DELAY_NS = 250 * Timeline.MS;
  private static final int SLOW_PERCENT = 2;
  private static final int DUPLICATED_PERCENT = 2;

  private record Link(String from, String to) {}

  private final SimulatedCluster cluster;
  private final boolean jitter;
  private final Set<Link> partitionedLinks = new HashSet<>();
  private final Set<Pipe> pendingPipes = new LinkedHashSet<>();

  Network(SimulatedCluster cluster, boolean jitter) {
    this.cluster = cluster;
    this.jitter = jitter;
  }

  void partitionOneWay(SimulatedProcess from, SimulatedProcess to) {
    partitionedLinks.add(new Link(from.name(), to.name()));
  }

  void partition(SimulatedProcess one, SimulatedProcess other) {
    partitionOneWay(one, other);
    partitionOneWay(other, one);
  }

  void heal() {
    partitionedLinks.clear();
    flushPending();
  }

  /** Heals the partitions from and to one process. */
  void heal(SimulatedProcess process) {
    partitionedLinks.removeIf(
        link -> link.from().equals(process.name()) || link.to().equals(process.name()));
    flushPending();
  }

  /**
   * Sends the messages that pipes buffered; those of links still partitioned are buffered again.
   */
  private void flushPending() {
    List<Pipe> pipes = new ArrayList<>(pendingPipes);
    pendingPipes.clear();
    pipes.forEach(Pipe::flush);
  }

  boolean isPartitioned(SimulatedProcess from, SimulatedProcess to) {
    return partitionedLinks.contains(new Link(from.name(), to.name()));
  }

  void addPendingPipe(Pipe pipe) {
    pendingPipes.add(pipe);
  }

  long delayNs() {
    if (!jitter) {
      return FIXED_DELAY_NS;
    }
    boolean slow = cluster.random().nextInt(100) < SLOW_PERCENT;
    return cluster.random().nextLong(Timeline.MS / 5, slow ? MAX_SLOW_DELAY_NS : 4 * Timeline.MS);
  }

  /** Sends a message that may be lost, duplicated and reordered. */
  void sendDatagram(SimulatedProcess from, SimulatedProcess to, Runnable onArrival) {
    if (isPartitioned(from, to)) {
      return;
    }
    boolean duplicated = jitter && cluster.random().nextInt(100) < DUPLICATED_PERCENT;
    for (int copy = duplicated ? 0 : 1; copy < 2; copy++) {
      int life = to.incarnation();
      cluster.timeline().after(delayNs(), () -> to.deliver(life, onArrival));
    }
  }
}
