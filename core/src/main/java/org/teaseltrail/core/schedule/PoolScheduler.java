package org.teaseltrail.core.schedule;

import java.util.List;
import java.util.Locale;
import java.util.Optional;
import java.util.OptionalLong;
import org.teaseltrail.core.id.FencingNumber;
import org.teaseltrail.core.id.PoolId;
import org.teaseltrail.core.id.VmId;
import org.teaseltrail.core.message.EntryMessage;
import org.teaseltrail.core.schedule.fleet.SpeedChange;
import org.teaseltrail.core.schedule.ticket.Nanos;

/**
 * Schedules one pool by exact accounts of all that waits and all that is in flight.
 *
 * <p>Tickets wait in one queue: tiers strictly in paid order, customers of a tier by their share of
 * engine time, a customer's tickets by useful deadline. A ticket is granted only when an upstream
 * can start it now. Waiting work is bounded; over the bound, the lowest tier is shed first, newest
 * first.
 */
public final class PoolScheduler implements Scheduler {

  /** Time between ticks while something waits. */
  private static final long TICK_NS = Nanos.fromMs(50);

  private final PoolState state;
  private final ReportGate gate = new ReportGate();
  private final TicketIntake intake;
  private final GrantDesk desk;
  private final InFlightExpiry expiry;
  private final Dispatcher dispatcher;
  private final DeadlineWatch deadlines;
  private final Shedder shedder;
  private long reviewedNs = Long.MIN_VALUE / 2;
  private long lastNowNs;

  /**
   * Creates the scheduler of a pool, with nothing waiting and nothing in flight.
   *
   * @param pool the pool
   * @param fencing the leadership it grants under
   * @param settings its policy
   * @param seed seeds what it draws by chance; nothing is drawn at present
   */
  public PoolScheduler(PoolId pool, FencingNumber fencing, SchedulerSettings settings, long seed) {
    this.state = new PoolState(pool, fencing, settings);
    Refusals refusals = new Refusals(state);
    this.intake = new TicketIntake(state, gate, refusals);
    this.expiry = new InFlightExpiry(state);
    this.desk = new GrantDesk(state, intake, expiry);
    this.dispatcher = new Dispatcher(state);
    this.deadlines = new DeadlineWatch(state, gate, refusals);
    this.shedder = new Shedder(state, gate, refusals);
  }

  @Override
  public List<SchedulerAction> handle(SchedulerEvent event, long nowNs) {
    lastNowNs = nowNs;
    state.advance(nowNs);
    apply(event, nowNs);
    expire(nowNs);
    review(nowNs);
    placeAll(nowNs);
    shedder.shed(nowNs);
    state.settle();
    return state.out().take();
  }

  @Override
  public OptionalLong nextWakeupNs() {
    long wakeupNs = Long.MAX_VALUE;
    if (state.queue().count() > 0) {
      wakeupNs = Math.min(lastNowNs + TICK_NS, deadlines.nextNs().orElse(Long.MAX_VALUE));
    }
    wakeupNs = Math.min(wakeupNs, expiry.nextNs().orElse(Long.MAX_VALUE));
    if (state.fleet().inFlightCount() > 0) {
      wakeupNs = Math.min(wakeupNs, reviewedNs + reviewNs());
    }
    return wakeupNs == Long.MAX_VALUE
        ? OptionalLong.empty()
        : OptionalLong.of(Math.max(wakeupNs, lastNowNs + 1));
  }

  /**
   * Checks that every account equals the sum of its parts. Linear in all that waits and runs.
   *
   * @throws org.teaseltrail.core.invariant.InvariantViolation if one does not
   */
  public void audit() {
    state.queue().audit();
    state.fleet().audit();
  }

  private void apply(SchedulerEvent event, long nowNs) {
    if (event instanceof SchedulerEvent.FromEntry from) {
      fromEntry(from.vm(), from.message(), nowNs);
    } else if (event instanceof SchedulerEvent.ConfigurationChanged changed) {
      state.setConfiguration(changed.configuration());
      intake.configured(nowNs);
    } else if (event instanceof SchedulerEvent.ClaimGranted granted) {
      desk.claimGranted(granted.request(), nowNs);
    } else if (event instanceof SchedulerEvent.ClaimDenied denied) {
      desk.claimDenied(denied.request(), nowNs);
    } else if (event instanceof SchedulerEvent.VmLapsed lapsed) {
      gate.heard(lapsed.vm());
      desk.vmLapsed(lapsed.vm(), nowNs);
    } else if (event instanceof SchedulerEvent.ReportsAwaited awaited) {
      gate.await(awaited.vms());
    }
  }

  private void fromEntry(VmId vm, EntryMessage message, long nowNs) {
    if (message instanceof EntryMessage.Offer offer) {
      intake.offered(vm, offer.ticket(), nowNs);
    } else if (message instanceof EntryMessage.Withdraw withdraw) {
      desk.withdrawn(withdraw.request(), nowNs);
    } else if (message instanceof EntryMessage.Declined declined) {
      desk.declined(declined, nowNs);
    } else if (message instanceof EntryMessage.Ended ended) {
      desk.ended(ended, nowNs);
    } else if (message instanceof EntryMessage.StillRunning running) {
      desk.stillRunning(vm, running, nowNs);
    } else if (message instanceof EntryMessage.ReportsComplete complete) {
      reportsComplete(complete);
    } else {
      news(message, nowNs);
    }
  }

  private void reportsComplete(EntryMessage.ReportsComplete complete) {
    if (complete.fencing().equals(state.fencing())) {
      gate.heard(complete.vm());
    }
  }

  private void news(EntryMessage message, long nowNs) {
    if (message instanceof EntryMessage.FirstToken first) {
      state
          .fleet()
          .find(first.request())
          .filter(part -> part.upstreamId().equals(first.upstream()))
          .ifPresent(part -> state.fleet().started(part, first.sinceDispatchMs(), nowNs));
    } else if (message instanceof EntryMessage.Progress progress) {
      state
          .fleet()
          .find(progress.request())
          .filter(part -> part.upstreamId().equals(progress.upstream()))
          .ifPresent(part -> state.fleet().progressed(part, progress.outputTokens(), nowNs));
    } else if (message instanceof EntryMessage.UpstreamSeen seen) {
      upstreamSeen(seen, nowNs);
    } else if (message instanceof EntryMessage.CacheSeen seen) {
      state.fleet().cacheEvent(seen.event());
    }
  }

  private void upstreamSeen(EntryMessage.UpstreamSeen seen, long nowNs) {
    long heardNs = nowNs - Nanos.fromMs(seen.heardMs());
    if (state.fleet().announce(seen.announcement(), heardNs, nowNs)) {
      String reason =
          "phase="
              + seen.announcement().phase()
              + " incarnation="
              + seen.announcement().incarnation();
      state.out().upstream(seen.announcement().upstream(), reason);
    }
  }

  private void expire(long nowNs) {
    state.book().expire(nowNs);
    expiry.expire(nowNs);
    deadlines.passDeadlines(nowNs);
    if (state.has(PolicyPart.DEADLINE_PREDICTION)) {
      state.queue().setHopelessAside(nowNs);
    }
  }

  private void review(long nowNs) {
    if (nowNs - reviewedNs < reviewNs()) {
      return;
    }
    reviewedNs = nowNs;
    deadlines.passUnserved(nowNs);
    for (SpeedChange change : state.fleet().review(nowNs)) {
      String ratio = String.format(Locale.ROOT, "%.2f", change.ratio());
      String reason = "speed=" + change.after() + " was=" + change.before() + " ratio=" + ratio;
      state.out().upstream(change.upstream(), reason);
    }
    state.estimator().setSpeed(state.fleet().ordinary());
  }

  private long reviewNs() {
    return Nanos.fromMs(state.settings().reviewIntervalMs());
  }

  private void placeAll(long nowNs) {
    if (state.queue().count() == 0) {
      return;
    }
    dispatcher.begin();
    Optional<Placement> next = dispatcher.next(nowNs);
    while (next.isPresent()) {
      desk.place(next.get(), nowNs);
      next = dispatcher.next(nowNs);
    }
  }
}
