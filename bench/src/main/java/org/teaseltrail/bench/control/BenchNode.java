package org.teaseltrail.bench.control;

import java.nio.file.Path;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.OptionalLong;
import java.util.concurrent.BlockingQueue;
import java.util.concurrent.ExecutorService;
import java.util.concurrent.Executors;
import java.util.concurrent.LinkedBlockingQueue;
import java.util.concurrent.TimeUnit;
import java.util.function.LongConsumer;
import java.util.random.RandomGenerator;
import org.teaseltrail.core.id.Incarnation;
import org.teaseltrail.core.id.MemberId;
import org.teaseltrail.core.id.VmId;
import org.teaseltrail.core.replication.EntryPayload;
import org.teaseltrail.core.replication.GroupId;
import org.teaseltrail.core.replication.LogEntry;
import org.teaseltrail.core.replication.Member;
import org.teaseltrail.core.replication.PeerEnvelope;
import org.teaseltrail.core.replication.Replica;
import org.teaseltrail.core.replication.ReplicaAction;
import org.teaseltrail.core.replication.ReplicaEvent;
import org.teaseltrail.core.replication.ReplicaSettings;
import org.teaseltrail.core.state.ClusterSnapshot;
import org.teaseltrail.core.state.ClusterState;
import org.teaseltrail.storage.FolderIdentity;
import org.teaseltrail.storage.NioFileSystem;
import org.teaseltrail.storage.ReplicaStorage;
import org.teaseltrail.wire.MessageCodec;
import org.teaseltrail.wire.MessagePackStateCodec;

/**
 * Node that runs a replica with its state on one thread and the synced writes on another. Messages
 * between nodes are encoded and decoded as on the wire, but are passed in memory.
 */
final class BenchNode implements AutoCloseable {

  static final GroupId GROUP = new GroupId("bench");

  private static final long POLL_MS = 5;

  private final BlockingQueue<ReplicaEvent> events = new LinkedBlockingQueue<>();
  private final BlockingQueue<ReplicaAction.Write> writes = new LinkedBlockingQueue<>();
  private final MessageCodec codec = new MessageCodec();
  private final MessagePackStateCodec states = new MessagePackStateCodec(codec);
  private final Map<MemberId, BenchNode> peers;
  private final Map<Long, Long> proposalIds = new HashMap<>();
  private final ReplicaStorage folder;
  private final Replica replica;
  private final ExecutorService snapshots = Executors.newSingleThreadExecutor();
  private final Thread loop = new Thread(this::runLoop, "member");
  private final Thread writer = new Thread(this::runWrites, "writes");
  private final LongConsumer commitListener;
  private ClusterState state = new ClusterState(ClusterSnapshot.empty());
  private volatile boolean leading;
  private volatile boolean closing;

  /**
   * Creates a node on the data folder of a member. The listener receives the id of each proposal of
   * this node that commits.
   */
  BenchNode(Path path, Map<MemberId, BenchNode> peers, LongConsumer commitListener) {
    this.peers = peers;
    this.commitListener = commitListener;
    folder = ReplicaStorage.open(new NioFileSystem(), path, GROUP);
    RandomGenerator random = RandomGenerator.of("L64X128MixRandom");
    replica =
        new Replica(
            GROUP, id(), ReplicaSettings.defaults(), folder.takeRecoveredState(), random, now());
    peers.put(id(), this);
  }

  static FolderIdentity identity(String vm) {
    return FolderIdentity.create(GROUP, new VmId(vm), new Incarnation(1));
  }

  MemberId id() {
    return folder.identity().member().id();
  }

  Member member() {
    return folder.identity().member();
  }

  MessagePackStateCodec codec() {
    return states;
  }

  ClusterState state() {
    return state;
  }

  boolean isLeading() {
    return leading;
  }

  void start() {
    writer.start();
    loop.start();
  }

  void post(ReplicaEvent event) {
    events.add(event);
  }

  @Override
  public void close() {
    closing = true;
    join(loop);
    snapshots.shutdownNow();
    join(writer);
    folder.close();
  }

  private static void join(Thread thread) {
    try {
      thread.join();
    } catch (InterruptedException e) {
      Thread.currentThread().interrupt();
    }
  }

  private static long now() {
    return System.nanoTime();
  }

  private void runLoop() {
    try {
      handle(new ReplicaEvent.Tick());
      while (!closing) {
        List<ReplicaEvent> batch = new ArrayList<>();
        ReplicaEvent first = events.poll(POLL_MS, TimeUnit.MILLISECONDS);
        if (first != null) {
          batch.add(first);
          events.drainTo(batch, 255);
        }
        batch.forEach(this::handle);
        OptionalLong wakeup = replica.nextWakeupNs();
        if (wakeup.isPresent() && wakeup.getAsLong() <= now()) {
          handle(new ReplicaEvent.Tick());
        }
      }
    } catch (InterruptedException e) {
      Thread.currentThread().interrupt();
    }
  }

  private void handle(ReplicaEvent event) {
    replica.handle(event, now()).forEach(this::executeAction);
  }

  private void executeAction(ReplicaAction action) {
    if (action instanceof ReplicaAction.Write write) {
      writes.add(write);
    } else if (action instanceof ReplicaAction.SendPeerMessage send) {
      byte[] bytes = codec.encode(PeerEnvelope.class, send.envelope());
      BenchNode peer = peers.get(send.envelope().to());
      if (peer != null) {
        peer.post(
            new ReplicaEvent.PeerMessageReceived(peer.codec.decode(PeerEnvelope.class, bytes)));
      }
    } else if (action instanceof ReplicaAction.Apply apply) {
      apply.entries().forEach(this::apply);
    } else if (action instanceof ReplicaAction.RestoreSnapshot restore) {
      state = new ClusterState(states.decodeSnapshot(restore.snapshot().state()));
    } else if (action instanceof ReplicaAction.TakeSnapshot take) {
      post(new ReplicaEvent.SnapshotTaken(take.index(), states.encodeSnapshot(state.snapshot())));
    } else if (action instanceof ReplicaAction.BecameLeader) {
      leading = true;
    } else if (action instanceof ReplicaAction.LostLeadership) {
      leading = false;
    } else if (action instanceof ReplicaAction.ProposalAppended appended) {
      proposalIds.put(appended.index(), appended.proposalId());
    }
  }

  private void encode(long index, ClusterSnapshot snapshot) {
    snapshots.execute(
        () -> post(new ReplicaEvent.SnapshotTaken(index, states.encodeSnapshot(snapshot))));
  }

  private void apply(LogEntry entry) {
    if (entry.payload() instanceof EntryPayload.CommandPayload payload) {
      state.apply(states.decodeCommand(payload.bytes()));
    }
    Long proposal = proposalIds.remove(entry.index());
    if (proposal != null) {
      commitListener.accept(proposal);
    }
  }

  private void runWrites() {
    try {
      while (!closing || !writes.isEmpty()) {
        ReplicaAction.Write first = writes.poll(POLL_MS, TimeUnit.MILLISECONDS);
        if (first != null) {
          List<ReplicaAction.Write> batch = new ArrayList<>(List.of(first));
          writes.drainTo(batch);
          batch.forEach(folder::write);
          post(new ReplicaEvent.Persisted(folder.sync()));
        }
      }
    } catch (InterruptedException e) {
      Thread.currentThread().interrupt();
    }
  }
}
