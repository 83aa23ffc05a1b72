package org.teaseltrail.core.schedule;

import java.util.List;
import java.util.Locale;
import java.util.Optional;
import java.util.OptionalLong;
import org.teaseltrail.core.id.FencingNumber;
import org.teaseltrail.core.id.PoolId;
import org.teaseltrail.core.id.VmId;
import org.teaseltrail.core.message.EntryMessage;
import org.teaseltrail.core.schedule.fleet.SpeedStateChange;
import org.teaseltrail.core.schedule.ticket.Nanos;

/**
 * The scheduler of one pool, which keeps an exact account of all waiting and all in-flight
 * requests.
 *
 * <p>Tickets wait in one queue: tiers in strict priority order, the customers of a tier by weighted
 * fair sharing of engine time, a customer's tickets by useful deadline. A ticket is granted only
 * when an upstream can start it now. Waiting work is bounded; when it exceeds the bound, the lowest
 * tier is shed first, newest request first.
 */
public final class PoolScheduler implements Scheduler {

  /** Time between ticks while something waits. */
  private static final long TICK_NS = Nanos.fromMs(50);

  private final PoolState state;
  private final VmReportTracker vmReports = new VmReportTracker();
  private final TicketAdmissionController admissionController;
  private final GrantCoordinator grantCoordinator;
  private final InFlightRequestReaper reaper;
  private final PlacementSelector placementSelector;
  private final DeadlineEnforcer deadlineEnforcer;
  private final LoadShedder loadShedder;
  private long reviewedNs = Long.MIN_VALUE / 2;
  private long lastNowNs;

  /**
   * Creates the scheduler of a pool, with no requests waiting or in flight.
   *
   * @param pool the pool
   * @param fencing the fencing number of the leadership under which it grants
   * @param settings its policy
   * @param seed the seed for random decisions; at present there are none
   */
  public PoolScheduler(PoolId pool, FencingNumber fencing, SchedulerSettings settings, long seed) {
    this.state = new PoolState(pool, fencing, settings);
    RefusalHandler refusals = new RefusalHandler(state);
    this.admissionController = new TicketAdmissionController(state, vmReports, refusals);
    this.reaper = new InFlightRequestReaper(state);
    this.grantCoordinator = new GrantCoordinator(state, admissionController, reaper);
    this.placementSelector = new PlacementSelector(state);
    this.deadlineEnforcer = new DeadlineEnforcer(state, vmReports, refusals);
    this.loadShedder = new LoadShedder(state, vmReports, refusals);
  }

  @Override
  public List<SchedulerAction> handle(SchedulerEvent event, long nowNs) {
    lastNowNs = nowNs;
    state.advanceDrainMeters(nowNs);
    apply(event, nowNs);
    expire(nowNs);
    review(nowNs);
    placeAll(nowNs);
    loadShedder.shed(nowNs);
    state.updateBusy();
    return state.output().takeActions();
  }

  @Override
  public OptionalLong nextWakeupNs() {
    long wakeupNs = Long.MAX_VALUE;
    if (state.queue().count() > 0) {
      wakeupNs =
          Math.min(lastNowNs + TICK_NS, deadlineEnforcer.nextDeadlineNs().orElse(Long.MAX_VALUE));
    }
    wakeupNs = Math.min(wakeupNs, reaper.nextExpiryNs().orElse(Long.MAX_VALUE));
    if (state.fleet().inFlightCount() > 0) {
      wakeupNs = Math.min(wakeupNs, reviewedNs + reviewNs());
    }
    return wakeupNs == Long.MAX_VALUE
        ? OptionalLong.empty()
        : OptionalLong.of(Math.max(wakeupNs, lastNowNs + 1));
  }

  /**
   * Checks that every maintained sum equals the sum over its requests. The time is linear in the
   * number of waiting and in-flight requests.
   *
   * @throws org.teaseltrail.core.invariant.InvariantViolation if a sum is wrong
   */
  public void audit() {
    state.queue().audit();
    state.fleet().audit();
  }

  private void apply(SchedulerEvent event, long nowNs) {
    if (event instanceof SchedulerEvent.FromEntry from) {
      handleEntryMessage(from.vm(), from.message(), nowNs);
    } else if (event instanceof SchedulerEvent.ConfigurationChanged changed) {
      state.setConfiguration(changed.configuration());
      admissionController.onConfigurationChanged(nowNs);
    } else if (event instanceof SchedulerEvent.ClaimGranted granted) {
      grantCoordinator.onClaimGranted(granted.request(), nowNs);
    } else if (event instanceof SchedulerEvent.ClaimDenied denied) {
      grantCoordinator.onClaimDenied(denied.request(), nowNs);
    } else if (event instanceof SchedulerEvent.VmSessionExpired lapsed) {
      vmReports.heard(lapsed.vm());
      grantCoordinator.onVmSessionExpired(lapsed.vm(), nowNs);
    } else if (event instanceof SchedulerEvent.ReportsAwaited awaited) {
      vmReports.expectReports(awaited.vms());
    }
  }

  private void handleEntryMessage(VmId vm, EntryMessage message, long nowNs) {
    if (message instanceof EntryMessage.Offer offer) {
      admissionController.offered(vm, offer.ticket(), nowNs);
    } else if (message instanceof EntryMessage.Withdraw withdraw) {
      grantCoordinator.onWithdrawn(withdraw.request(), nowNs);
    } else if (message instanceof EntryMessage.Declined declined) {
      grantCoordinator.declined(declined, nowNs);
    } else if (message instanceof EntryMessage.Ended ended) {
      grantCoordinator.onEnded(ended, nowNs);
    } else if (message instanceof EntryMessage.StillRunning running) {
      grantCoordinator.onStillRunning(vm, running, nowNs);
    } else if (message instanceof EntryMessage.ReportsComplete complete) {
      onReportsComplete(complete);
    } else {
      handleObservation(message, nowNs);
    }
  }

  private void onReportsComplete(EntryMessage.ReportsComplete complete) {
    if (complete.fencing().equals(state.fencing())) {
      vmReports.heard(complete.vm());
    }
  }

  private void handleObservation(EntryMessage message, long nowNs) {
    if (message instanceof EntryMessage.FirstToken first) {
      state
          .fleet()
          .find(first.request())
          .filter(part -> part.upstreamId().equals(first.upstream()))
          .ifPresent(part -> state.fleet().onFirstToken(part, first.sinceDispatchMs(), nowNs));
    } else if (message instanceof EntryMessage.Progress progress) {
      state
          .fleet()
          .find(progress.request())
          .filter(part -> part.upstreamId().equals(progress.upstream()))
          .ifPresent(part -> state.fleet().onProgress(part, progress.outputTokens(), nowNs));
    } else if (message instanceof EntryMessage.UpstreamSeen seen) {
      onUpstreamSeen(seen, nowNs);
    } else if (message instanceof EntryMessage.CacheSeen seen) {
      state.fleet().applyCacheEvent(seen.event());
    }
  }

  private void onUpstreamSeen(EntryMessage.UpstreamSeen seen, long nowNs) {
    long heardNs = nowNs - Nanos.fromMs(seen.heardMs());
    if (state.fleet().announce(seen.announcement(), heardNs, nowNs)) {
      String reason =
          "phase="
              + seen.announcement().phase()
              + " incarnation="
              + seen.announcement().incarnation();
      state.output().upstream(seen.announcement().upstream(), reason);
    }
  }

  private void expire(long nowNs) {
    state.ticketRegistry().expire(nowNs);
    reaper.expire(nowNs);
    deadlineEnforcer.refuseExpired(nowNs);
    if (state.isEnabled(PolicyPart.DEADLINE_PREDICTION)) {
      state.queue().setAsideInfeasible(nowNs);
    }
  }

  private void review(long nowNs) {
    if (nowNs - reviewedNs < reviewNs()) {
      return;
    }
    reviewedNs = nowNs;
    deadlineEnforcer.refuseRoutesWithoutUpstream(nowNs);
    for (SpeedStateChange change : state.fleet().reviewSpeeds(nowNs)) {
      String ratio = String.format(Locale.ROOT, "%.2f", change.ratio());
      String reason = "speed=" + change.after() + " was=" + change.before() + " ratio=" + ratio;
      state.output().upstream(change.upstream(), reason);
    }
    state.estimator().setSpeed(state.fleet().typicalSpeed());
  }

  private long reviewNs() {
    return Nanos.fromMs(state.settings().reviewIntervalMs());
  }

  private void placeAll(long nowNs) {
    if (state.queue().count() == 0) {
      return;
    }
    placementSelector.beginRound();
    Optional<Placement> next = placementSelector.next(nowNs);
    while (next.isPresent()) {
      grantCoordinator.grantPlacement(next.get(), nowNs);
      next = placementSelector.next(nowNs);
    }
  }
}
