package org.teaseltrail.bench.replica;

import java.util.List;
import java.util.Map;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.LinkedBlockingQueue;
import java.util.concurrent.TimeUnit;
import java.util.random.RandomGenerator;
import org.teaseltrail.core.id.MemberId;
import org.teaseltrail.core.replication.LogEntry;
import org.teaseltrail.core.replication.PeerEnvelope;
import org.teaseltrail.core.replication.Replica;
import org.teaseltrail.core.replication.ReplicaAction;
import org.teaseltrail.core.replication.ReplicaEvent;
import org.teaseltrail.core.replication.ReplicaSettings;
import org.teaseltrail.storage.ReplicaStorage;

/**
 * Member that runs one replica on its own thread and data folder. It handles all queued events
 * before it syncs their writes together.
 */
final class BenchMember implements AutoCloseable {

  private static final int MAX_EVENTS_PER_SYNC = 4_096;
  private static final long MAX_WAIT_NS = 50_000_000L;

  private final LinkedBlockingQueue<ReplicaEvent> inbox = new LinkedBlockingQueue<>();
  private final Map<MemberId, BenchMember> peers;
  private final ReplicaStorage folder;
  private final Replica replica;
  private final Thread thread;
  private final byte[] state;
  private volatile CommitListener listener = entry -> {};
  private volatile boolean leading;
  private volatile long appliedIndex;
  private volatile boolean stopped;
  private boolean unsynced;
  private long syncs;

  BenchMember(
      Map<MemberId, BenchMember> peers,
      ReplicaStorage folder,
      ReplicaSettings settings,
      byte[] state) {
    this.peers = peers;
    this.folder = folder;
    this.state = state;
    this.replica =
        new Replica(
            folder.identity().group(),
            id(),
            settings,
            folder.takeRecoveredState(),
            RandomGenerator.getDefault(),
            System.nanoTime());
    this.thread = new Thread(this::run, "member-" + id());
    peers.put(id(), this);
    thread.start();
  }

  /** Receives each applied entry on the member's thread. */
  interface CommitListener {

    void applied(LogEntry entry);
  }

  static Map<MemberId, BenchMember> group() {
    return new ConcurrentHashMap<>();
  }

  MemberId id() {
    return folder.identity().member().id();
  }

  boolean isLeading() {
    return leading;
  }

  long appliedIndex() {
    return appliedIndex;
  }

  long syncs() {
    return syncs;
  }

  void listen(CommitListener changed) {
    listener = changed;
  }

  void send(ReplicaEvent event) {
    inbox.add(event);
  }

  @Override
  public void close() throws InterruptedException {
    stopped = true;
    thread.join();
    folder.close();
    peers.remove(id());
  }

  private void run() {
    while (!stopped) {
      ReplicaEvent event = next();
      for (int i = 0; i < MAX_EVENTS_PER_SYNC && event != null; i++) {
        handle(event);
        event = inbox.poll();
      }
      if (event != null) {
        handle(event);
      }
      if (unsynced) {
        unsynced = false;
        syncs++;
        handle(new ReplicaEvent.Persisted(folder.sync()));
      }
    }
  }

  private ReplicaEvent next() {
    long remainingNs = replica.nextWakeupNs().orElse(Long.MAX_VALUE) - System.nanoTime();
    try {
      long waitNs = Math.min(MAX_WAIT_NS, Math.max(1, remainingNs));
      ReplicaEvent event = inbox.poll(waitNs, TimeUnit.NANOSECONDS);
      return event == null ? new ReplicaEvent.Tick() : event;
    } catch (InterruptedException e) {
      Thread.currentThread().interrupt();
      return new ReplicaEvent.Tick();
    }
  }

  private void handle(ReplicaEvent event) {
    execute(replica.handle(event, System.nanoTime()));
  }

  private void execute(List<ReplicaAction> actions) {
    for (ReplicaAction action : actions) {
      if (action instanceof ReplicaAction.Write write) {
        folder.write(write);
        unsynced = true;
      } else if (action instanceof ReplicaAction.SendPeerMessage send) {
        deliver(send.envelope());
      } else if (action instanceof ReplicaAction.Apply apply) {
        apply.entries().forEach(listener::applied);
        appliedIndex = apply.entries().get(apply.entries().size() - 1).index();
      } else if (action instanceof ReplicaAction.RestoreSnapshot restore) {
        appliedIndex = restore.snapshot().index();
      } else if (action instanceof ReplicaAction.TakeSnapshot take) {
        handle(new ReplicaEvent.SnapshotTaken(take.index(), state));
      } else if (action instanceof ReplicaAction.BecameLeader) {
        leading = true;
      } else if (action instanceof ReplicaAction.LostLeadership) {
        leading = false;
      }
    }
  }

  private void deliver(PeerEnvelope envelope) {
    BenchMember receiver = peers.get(envelope.to());
    if (receiver != null) {
      receiver.send(new ReplicaEvent.PeerMessageReceived(envelope));
    }
  }
}
