package org.teaseltrail.session;

import java.util.ArrayDeque;
import java.util.Deque;
import java.util.HashMap;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.OptionalLong;
import java.util.function.Consumer;
import org.teaseltrail.core.configuration.Configuration;
import org.teaseltrail.core.control.ControlAction;
import org.teaseltrail.core.control.ControlEvent;
import org.teaseltrail.core.control.ControlMember;
import org.teaseltrail.core.control.ControlSettings;
import org.teaseltrail.core.control.OperatorRequest;
import org.teaseltrail.core.control.OperatorResult;
import org.teaseltrail.core.id.MemberId;
import org.teaseltrail.core.id.VmId;
import org.teaseltrail.core.message.ControlMessage;
import org.teaseltrail.core.message.EntryMessage;
import org.teaseltrail.core.replication.LogEntry;
import org.teaseltrail.core.replication.Replica;
import org.teaseltrail.core.replication.ReplicaSettings;
import org.teaseltrail.core.schedule.PoolScheduler;
import org.teaseltrail.core.schedule.SchedulerSettings;

/**
 * Simulated control member with its disk, its connections and the queue of actions that require the
 * lease.
 */
final class ControlProcess extends SimulatedProcess {

  private static final long SYNC_NS = Timeline.MS;

  private final MemberId id;
  private final SimulatedDisk disk;
  private final ReplicaSettings settings;
  private final Map<VmId, ControlConnection> connections = new LinkedHashMap<>();
  private final Deque<ControlAction> leaseActions = new ArrayDeque<>();
  private final Map<Long, Consumer<OperatorResult>> calls = new HashMap<>();
  private ControlMember member;
  private boolean syncing;
  private boolean serving;
  private long lastCallId;
  private boolean pausesAtGrant;

  ControlProcess(SimulatedCluster cluster, String name, LogEntry first, ReplicaSettings settings) {
    super(cluster, name);
    this.settings = settings;
    this.id = new MemberId(name);
    this.disk = new SimulatedDisk(first);
  }

  MemberId id() {
    return id;
  }

  boolean hasValidLease() {
    return isRunning() && member.isLeaseValid(localNs());
  }

  Configuration configuration() {
    return member.configuration();
  }

  long revision() {
    return configuration().revision().value();
  }

  @Override
  void onStart() {
    Replica replica =
        new Replica(
            SimulatedCluster.GROUP,
            id,
            settings,
            disk.recovered(),
            cluster.random().split(),
            localNs());
    member =
        new ControlMember(
            id,
            ControlSettings.DEFAULT,
            replica,
            cluster.codec(),
            (pool, fencing, seed) ->
                new PoolScheduler(pool, fencing, SchedulerSettings.defaults(), seed));
  }

  @Override
  void onKill() {
    disk.discardUnsynced();
    syncing = false;
    serving = false;
    pausesAtGrant = false;
    leaseActions.clear();
    calls.clear();
    List.copyOf(connections.values()).forEach(ControlConnection::closeByMember);
    connections.clear();
  }

  @Override
  OptionalLong nextWakeupNs() {
    return member.nextWakeupNs();
  }

  @Override
  void tick() {
    handle(new ControlEvent.Tick());
  }

  void onConnectionOpened(ControlConnection connection) {
    ControlConnection before = connections.put(connection.entry().vm(), connection);
    if (before != null) {
      before.closeByMember();
    }
  }

  void onConnectionClosed(ControlConnection connection) {
    connections.remove(connection.entry().vm(), connection);
  }

  void onMessage(VmId vm, EntryMessage message) {
    handle(new ControlEvent.FromEntry(vm, message));
  }

  /** Submits an operator request; the callback isn't invoked if the process dies first. */
  void submitOperatorRequest(OperatorRequest request, Consumer<OperatorResult> callback) {
    lastCallId++;
    calls.put(lastCallId, callback);
    handle(new ControlEvent.OperatorCall(lastCallId, request));
  }

  /** Pauses the process after it has decided its next grant and before it sends it. */
  void pauseBeforeNextGrant() {
    pausesAtGrant = true;
  }

  void handOver() {
    handle(new ControlEvent.HandOver());
  }

  private void handle(ControlEvent event) {
    if (!isRunning()) {
      return;
    }
    member.handle(event, localNs()).forEach(this::execute);
    flush();
    startSync();
    scheduleWakeup();
  }

  private void execute(ControlAction action) {
    if (action.requiresLease()) {
      leaseActions.addLast(action);
    } else if (action instanceof ControlAction.Persist persist) {
      disk.write(persist.write());
    } else if (action instanceof ControlAction.SendToPeer send) {
      ControlProcess to = cluster.member(send.envelope().to());
      cluster
          .network()
          .sendDatagram(this, to, () -> to.handle(new ControlEvent.FromPeer(send.envelope())));
    } else if (action instanceof ControlAction.SendNotLeader send) {
      Optional.ofNullable(connections.get(send.vm())).ifPresent(c -> c.sendToEntry(send.message()));
    } else if (action instanceof ControlAction.Reply reply) {
      calls.remove(reply.callId()).accept(reply.result());
    } else if (action instanceof ControlAction.LogDecision log) {
      cluster.trace().decision(this, log.decision());
    } else if (action instanceof ControlAction.LeadershipChanged changed) {
      leadershipChanged(changed.serving());
    }
  }

  private void leadershipChanged(boolean nowServing) {
    if (nowServing != serving) {
      serving = nowServing;
      cluster.trace().addLine(name(), serving ? "leads" : "leads no longer");
    }
    if (!serving) {
      leaseActions.clear();
    }
  }

  /** Sends the queued messages that require the lease, and checks the lease before each. */
  private void flush() {
    while (!leaseActions.isEmpty() && member.isLeaseValid(localNs())) {
      ControlAction.SendToEntryVm send = (ControlAction.SendToEntryVm) leaseActions.getFirst();
      if (pausesAtGrant && send.message() instanceof ControlMessage.Grant) {
        pausesAtGrant = false;
        pause();
        return;
      }
      leaseActions.removeFirst();
      ControlConnection connection = connections.get(send.vm());
      if (connection != null) {
        cluster.trace().addControlMessage(this, send.vm(), send.message());
        connection.sendToEntry(send.message());
        if (send.message() instanceof ControlMessage.Grant) {
          cluster.invariants().granted();
        }
      }
    }
  }

  private void startSync() {
    if (syncing || disk.isAllSynced()) {
      return;
    }
    syncing = true;
    long writeNumber = disk.latestWriteNumber();
    schedule(
        SYNC_NS,
        () -> {
          disk.sync(writeNumber);
          syncing = false;
          handle(new ControlEvent.Persisted(writeNumber));
        });
  }
}
