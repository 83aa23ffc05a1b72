package org.teaseltrail.core.control;

import java.util.HashSet;
import java.util.Optional;
import java.util.Set;
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

/** Takes what entry VMs say: hellos to their sessions, all else to the scheduler of its pool. */
final class EntryMessageHandler {

  /**
   * Stands for the VMs that an older leader has welcomed and that have not said hello here yet. As
   * long as it is awaited no scheduler sheds; it lapses when the last such session must have.
   */
  private static final VmId UNREPORTED_VMS = new VmId("unheard-vms");

  private final Leadership leadership;
  private final Set<VmId> awaited = new HashSet<>();

  EntryMessageHandler(Leadership leadership) {
    this.leadership = leadership;
  }

  void awaitReports() {
    awaited.add(UNREPORTED_VMS);
    tellAwaited();
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
      lapsed(hello.vm());
    }
    if (outcome.sessionChange() != SessionChange.KEPT && awaited.contains(UNREPORTED_VMS)) {
      awaited.add(hello.vm());
      tellAwaited();
    }
    if (outcome.renewed()) {
      welcome(hello);
    }
    if (outcome.needsConfiguration()) {
      leadership.sendConfiguration(hello.vm());
    }
    leadership.inForceTracker().replyIfDue(leadership.nowNs());
  }

  void message(VmId vm, EntryMessage message) {
    if (message instanceof EntryMessage.Offer offer) {
      offer(vm, offer);
    } else if (message instanceof EntryMessage.StillRunning running) {
      stillRunning(vm, running);
    } else if (message instanceof EntryMessage.ReportsComplete complete) {
      reportsComplete(vm, complete);
    } else if (message instanceof EntryMessage.UpstreamSeen seen) {
      upstreamSeen(vm, seen);
    } else if (message instanceof EntryMessage.CacheSeen seen) {
      poolOf(seen.event().upstream()).ifPresent(pool -> feed(pool, vm, message));
    } else {
      aboutRequest(vm, message);
    }
  }

  /** Ends the sessions whose time is over. */
  void expireSessions() {
    leadership.sessions().removeExpired(leadership.nowNs()).forEach(this::lapsed);
    if (leadership.sessions().havePriorSessionsExpired(leadership.nowNs())
        && awaited.remove(UNREPORTED_VMS)) {
      broadcast(new SchedulerEvent.VmSessionExpired(UNREPORTED_VMS));
    }
  }

  /** Returns whether each VM that may hold requests has told of them. */
  boolean haveAllReported() {
    return awaited.isEmpty();
  }

  private void lapsed(VmId vm) {
    awaited.remove(vm);
    leadership.requests().removeAll(vm);
    broadcast(new SchedulerEvent.VmSessionExpired(vm));
  }

  private void welcome(EntryMessage.Hello hello) {
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
            hello.sequence()));
  }

  /**
   * Queues a ticket. A VM without a session is not heard: it must say hello first and then tells
   * all that it holds, so nothing is lost.
   */
  private void offer(VmId vm, EntryMessage.Offer offer) {
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
      feed(ticket.pool(), vm, offer);
    }
  }

  private void stillRunning(VmId vm, EntryMessage.StillRunning running) {
    Ticket ticket = running.ticket();
    leadership.requests().track(vm, ticket).granted(running.upstream());
    feed(ticket.pool(), vm, running);
  }

  private void reportsComplete(VmId vm, EntryMessage.ReportsComplete complete) {
    Optional<Session> session = leadership.sessions().find(vm);
    if (session.isEmpty() || !complete.fencing().equals(leadership.fencing())) {
      return;
    }
    session.get().markReportsComplete();
    awaited.remove(vm);
    broadcast(new SchedulerEvent.FromEntry(vm, complete));
  }

  private void upstreamSeen(VmId vm, EntryMessage.UpstreamSeen seen) {
    Optional<PoolId> pool = poolOf(seen.announcement().upstream());
    if (pool.isPresent()) {
      leadership.announcements().storeIfNewer(seen, leadership.nowNs());
      feed(pool.get(), vm, seen);
    }
  }

  private void aboutRequest(VmId vm, EntryMessage message) {
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

  /** Gives a message to its request's pool, or to all pools if the request is not known. */
  private void route(VmId vm, RequestId request, EntryMessage message) {
    Optional<TrackedRequest> tracked = leadership.requests().find(request);
    if (tracked.isPresent()) {
      feed(tracked.get().pool(), vm, message);
    } else {
      broadcast(new SchedulerEvent.FromEntry(vm, message));
    }
  }

  private void feed(PoolId pool, VmId vm, EntryMessage message) {
    SchedulerEvent event = new SchedulerEvent.FromEntry(vm, message);
    leadership.schedulers().handle(pool, event, leadership.nowNs());
  }

  private void broadcast(SchedulerEvent event) {
    leadership.schedulers().broadcast(event, leadership.nowNs());
  }

  private void tellAwaited() {
    broadcast(new SchedulerEvent.ReportsAwaited(Set.copyOf(awaited)));
  }

  private Optional<PoolId> poolOf(UpstreamId upstream) {
    return Optional.ofNullable(leadership.configuration().upstreams().get(upstream))
        .map(AllowedUpstream::pool);
  }
}
