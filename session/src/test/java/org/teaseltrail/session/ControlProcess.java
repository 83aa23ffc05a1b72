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

/** Runs a control member with its disk, its connections and its queue of outward actions. */
final class ControlProcess extends FakeProcess {

  private static final long SYNC_NS = Timeline.MS;

  private final MemberId id;
  private final SyncedDisk disk;
  private final ReplicaSettings settings;
  private final Map<VmId, ControlConnection> connections = new LinkedHashMap<>();
  private final Deque<ControlAction> outward = new ArrayDeque<>();
  private final Map<Long, Consumer<OperatorResult>> calls = new HashMap<>();
  private ControlMember member;
  private boolean syncing;
  private boolean serving;
  private long lastCall;
  private boolean freezesAtGrant;

  ControlProcess(SessionWorld world, String name, LogEntry first, ReplicaSettings settings) {
    super(world, name);
    this.settings = settings;
    this.id = new MemberId(name);
    this.disk = new SyncedDisk(first);
  }

  MemberId id() {
    return id;
  }

  boolean leaseHolds() {
    return isUp() && member.isLeaseValid(localNs());
  }

  Configuration configuration() {
    return member.configuration();
  }

  long revision() {
    return configuration().revision().value();
  }

  @Override
  void begin() {
    Replica replica =
        new Replica(
            SessionWorld.GROUP, id, settings, disk.recovered(), world.random().split(), localNs());
    member =
        new ControlMember(
            id,
            ControlSettings.DEFAULT,
            replica,
            world.codec(),
            (pool, fencing, seed) ->
                new PoolScheduler(pool, fencing, SchedulerSettings.defaults(), seed));
  }

  @Override
  void ended() {
    disk.loseUnsynced();
    syncing = false;
    serving = false;
    freezesAtGrant = false;
    outward.clear();
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

  void opened(ControlConnection connection) {
    ControlConnection before = connections.put(connection.entry().vm(), connection);
    if (before != null) {
      before.closeByMember();
    }
  }

  void closed(ControlConnection connection) {
    connections.remove(connection.entry().vm(), connection);
  }

  void received(VmId vm, EntryMessage message) {
    handle(new ControlEvent.FromEntry(vm, message));
  }

  /** Asks as an operator; no answer comes if the process ends first. */
  void ask(OperatorRequest request, Consumer<OperatorResult> answer) {
    lastCall++;
    calls.put(lastCall, answer);
    handle(new ControlEvent.OperatorCall(lastCall, request));
  }

  /** Freezes the process between its next grant and the sending of it. */
  void freezeAtNextGrant() {
    freezesAtGrant = true;
  }

  void handOver() {
    handle(new ControlEvent.HandOver());
  }

  private void handle(ControlEvent event) {
    if (!isUp()) {
      return;
    }
    member.handle(event, localNs()).forEach(this::carryOut);
    flush();
    startSync();
    rearm();
  }

  private void carryOut(ControlAction action) {
    if (action.requiresLease()) {
      outward.addLast(action);
    } else if (action instanceof ControlAction.Persist persist) {
      disk.write(persist.write());
    } else if (action instanceof ControlAction.SendToPeer send) {
      ControlProcess to = world.member(send.envelope().to());
      world
          .network()
          .datagram(this, to, () -> to.handle(new ControlEvent.FromPeer(send.envelope())));
    } else if (action instanceof ControlAction.SendNotLeader send) {
      Optional.ofNullable(connections.get(send.vm())).ifPresent(c -> c.toEntry(send.message()));
    } else if (action instanceof ControlAction.Reply reply) {
      calls.remove(reply.callId()).accept(reply.result());
    } else if (action instanceof ControlAction.LogDecision log) {
      world.trace().decision(this, log.decision());
    } else if (action instanceof ControlAction.LeadershipChanged changed) {
      leadershipChanged(changed.serving());
    }
  }

  private void leadershipChanged(boolean nowServing) {
    if (nowServing != serving) {
      serving = nowServing;
      world.trace().line(name(), serving ? "leads" : "leads no longer");
    }
    if (!serving) {
      outward.clear();
    }
  }

  /** Sends what waits for the lease, looking at it before each message. */
  private void flush() {
    while (!outward.isEmpty() && member.isLeaseValid(localNs())) {
      ControlAction.SendToEntryVm send = (ControlAction.SendToEntryVm) outward.getFirst();
      if (freezesAtGrant && send.message() instanceof ControlMessage.Grant) {
        freezesAtGrant = false;
        freeze();
        return;
      }
      outward.removeFirst();
      ControlConnection connection = connections.get(send.vm());
      if (connection != null) {
        world.trace().fromControl(this, send.vm(), send.message());
        connection.toEntry(send.message());
        if (send.message() instanceof ControlMessage.Grant) {
          world.checks().granted();
        }
      }
    }
  }

  private void startSync() {
    if (syncing || disk.isAllSynced()) {
      return;
    }
    syncing = true;
    long writeNumber = disk.newestWrite();
    later(
        SYNC_NS,
        () -> {
          disk.sync(writeNumber);
          syncing = false;
          handle(new ControlEvent.Persisted(writeNumber));
        });
  }
}
