package org.teaseltrail.core.control;

import java.util.HashSet;
import java.util.Optional;
import java.util.Set;
import org.teaseltrail.core.collection.OrderedCopies;
import org.teaseltrail.core.configuration.AllowedUpstream;
import org.teaseltrail.core.id.PoolId;
import org.teaseltrail.core.id.RequestId;
import org.teaseltrail.core.id.UpstreamId;
import org.teaseltrail.core.id.VmId;
import org.teaseltrail.core.message.ControlMessage;
import org.teaseltrail.core.message.DeclineReason;
import org.teaseltrail.core.message.EntryMessage;
import org.teaseltrail.core.message.RefusalKind;
import org.teaseltrail.core.message.Ticket;
import org.teaseltrail.core.schedule.SchedulerEvent;
import org.teaseltrail.core.session.HelloResult;
import org.teaseltrail.core.session.HelloResult.SessionChange;
import org.teaseltrail.core.session.Session;

/**
 * Handles messages of entry VMs: passes hellos to the session registry and all other messages to
 * the scheduler of the pool concerned.
 */
final class EntryMessageHandler {

  /**
   * Placeholder for the VMs that have a session from an earlier leader and have not sent a hello to
   * this one yet. While it is awaited no scheduler sheds load. It expires when the last such
   * session must have expired.
   */
  private static final VmId UNREPORTED_VMS = new VmId("unheard-vms");

  private final Leadership leadership;
  private final Set<VmId> awaitedVms = new HashSet<>();

  EntryMessageHandler(Leadership leadership) {
    this.leadership = leadership;
  }

  void awaitReports() {
    awaitedVms.add(UNREPORTED_VMS);
    announceAwaited();
  }

  void onHello(EntryMessage.Hello hello) {
    var accepted = leadership.configuration().revision();
    HelloResult outcome = leadership.sessions().handleHello(hello, accepted, leadership.nowNs());
    if (outcome.sessionChange() == SessionChange.STALE) {
      return;
    }
    if (outcome.sessionChange() == SessionChange.HELD_OFF) {
      if (outcome.needsConfiguration()) {
        leadership.sendConfiguration(hello.vm());
      }
      return;
    }
    if (outcome.sessionChange() == SessionChange.REPLACED) {
      onSessionExpired(hello.vm());
    }
    if (outcome.sessionChange() != SessionChange.KEPT && awaitedVms.contains(UNREPORTED_VMS)) {
      awaitedVms.add(hello.vm());
      announceAwaited();
    }
    if (outcome.renewed()) {
      hello.losses().ifPresent(leadership.servingCoordinator()::onLosses);
      sendWelcome(hello);
    }
    if (outcome.needsConfiguration()) {
      leadership.sendConfiguration(hello.vm());
    }
    leadership.inForceTracker().replyIfDue(leadership.nowNs());
  }

  void message(VmId vm, EntryMessage message) {
    if (message instanceof EntryMessage.Offer offer) {
      onOffer(vm, offer);
    } else if (message instanceof EntryMessage.StillRunning running) {
      onStillRunning(vm, running);
    } else if (message instanceof EntryMessage.ReportsComplete complete) {
      onReportsComplete(vm, complete);
    } else if (message instanceof EntryMessage.UpstreamSeen seen) {
      onUpstreamSeen(vm, seen);
    } else if (message instanceof EntryMessage.CacheSeen seen) {
      poolOf(seen.event().upstream()).ifPresent(pool -> deliver(pool, vm, message));
    } else {
      onRequestMessage(vm, message);
    }
  }

  /** Ends the sessions that have expired. */
  void expireSessions() {
    leadership.sessions().removeExpired(leadership.nowNs()).forEach(this::onSessionExpired);
    if (leadership.sessions().havePriorSessionsExpired(leadership.nowNs())
        && awaitedVms.remove(UNREPORTED_VMS)) {
      broadcast(new SchedulerEvent.VmSessionExpired(UNREPORTED_VMS));
    }
  }

  /** Returns whether each VM that can hold requests has reported them. */
  boolean haveAllReported() {
    return awaitedVms.isEmpty();
  }

  private void onSessionExpired(VmId vm) {
    awaitedVms.remove(vm);
    leadership.requests().removeAll(vm);
    broadcast(new SchedulerEvent.VmSessionExpired(vm));
  }

  private void sendWelcome(EntryMessage.Hello hello) {
    boolean reported =
        leadership.sessions().find(hello.vm()).map(Session::hasReported).orElse(false);
    leadership.send(
        hello.vm(),
        new ControlMessage.Welcome(
            leadership.context().self(),
            leadership.fencing(),
            leadership.configuration().revision(),
            leadership.context().settings().sessions().lifetimeMs(),
            !reported,
            hello.sequence(),
            leadership.servingCoordinator().quarantineFor(hello),
            leadership.servingCoordinator().takeTrial(hello.vm())));
  }

  /**
   * Queues a ticket. Tickets of a VM without a session are ignored: the VM must send a hello first
   * and then reports everything that it holds, so nothing is lost.
   */
  private void onOffer(VmId vm, EntryMessage.Offer offer) {
    Ticket ticket = offer.ticket();
    if (leadership.sessions().find(vm).isEmpty()) {
      return;
    }
    if (!leadership.schedulers().has(ticket.pool())) {
      leadership.refuse(vm, ticket.request(), RefusalKind.UNKNOWN_POOL, 0);
      return;
    }
    if (leadership.claimCoordinator().admit(vm, ticket, leadership.nowNs())) {
      leadership.requests().track(vm, ticket);
      deliver(ticket.pool(), vm, offer);
    }
  }

  private void onStillRunning(VmId vm, EntryMessage.StillRunning running) {
    Ticket ticket = running.ticket();
    leadership.requests().track(vm, ticket).granted(running.upstream());
    deliver(ticket.pool(), vm, running);
  }

  private void onReportsComplete(VmId vm, EntryMessage.ReportsComplete complete) {
    Optional<Session> session = leadership.sessions().find(vm);
    if (session.isEmpty() || !complete.fencing().equals(leadership.fencing())) {
      return;
    }
    session.get().markReportsComplete();
    awaitedVms.remove(vm);
    broadcast(new SchedulerEvent.FromEntry(vm, complete));
  }

  private void onUpstreamSeen(VmId vm, EntryMessage.UpstreamSeen seen) {
    Optional<PoolId> pool = poolOf(seen.announcement().upstream());
    if (pool.isPresent()) {
      leadership.servingCoordinator().onAnnounced(seen);
      leadership.announcements().storeIfNewer(seen, leadership.nowNs());
      deliver(pool.get(), vm, seen);
    }
  }

  private void onRequestMessage(VmId vm, EntryMessage message) {
    if (message instanceof EntryMessage.Withdraw withdraw) {
      route(vm, withdraw.request(), message);
      leadership.claimCoordinator().release(withdraw.request(), () -> {}, leadership.nowNs());
      leadership.requests().remove(withdraw.request());
    } else if (message instanceof EntryMessage.Declined declined) {
      declined(vm, declined);
    } else if (message instanceof EntryMessage.Ended ended) {
      route(vm, ended.request(), message);
      leadership.claimCoordinator().ended(ended.request(), ended.kind(), leadership.nowNs());
      leadership.requests().remove(ended.request());
    } else if (message instanceof EntryMessage.FirstToken first) {
      route(vm, first.request(), message);
    } else if (message instanceof EntryMessage.Progress progress) {
      route(vm, progress.request(), message);
    }
  }

  private void declined(VmId vm, EntryMessage.Declined declined) {
    Optional<TrackedRequest> tracked = leadership.requests().find(declined.request());
    Optional<UpstreamId> granted = tracked.flatMap(TrackedRequest::upstream);
    if (granted.equals(Optional.of(declined.upstream()))) {
      tracked.get().markWaiting();
    }
    route(vm, declined.request(), declined);
    if (declined.reason() == DeclineReason.UNKNOWN_REQUEST) {
      leadership.requests().remove(declined.request());
    }
  }

  /** Passes a message to the pool of its request, or to all pools if the request is unknown. */
  private void route(VmId vm, RequestId request, EntryMessage message) {
    Optional<TrackedRequest> tracked = leadership.requests().find(request);
    if (tracked.isPresent()) {
      deliver(tracked.get().pool(), vm, message);
    } else {
      broadcast(new SchedulerEvent.FromEntry(vm, message));
    }
  }

  private void deliver(PoolId pool, VmId vm, EntryMessage message) {
    SchedulerEvent event = new SchedulerEvent.FromEntry(vm, message);
    leadership.schedulers().handle(pool, event, leadership.nowNs());
  }

  private void broadcast(SchedulerEvent event) {
    leadership.schedulers().broadcast(event, leadership.nowNs());
  }

  private void announceAwaited() {
    broadcast(new SchedulerEvent.ReportsAwaited(OrderedCopies.setOf(awaitedVms)));
  }

  private Optional<PoolId> poolOf(UpstreamId upstream) {
    return Optional.ofNullable(leadership.configuration().upstreams().get(upstream))
        .map(AllowedUpstream::pool);
  }
}
