package org.teaseltrail.core.forward;

import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.SplittableRandom;
import java.util.random.RandomGenerator;
import java.util.stream.LongStream;
import org.teaseltrail.core.id.FencingNumber;
import org.teaseltrail.core.id.ServiceId;
import org.teaseltrail.core.id.UpstreamId;
import org.teaseltrail.core.id.VmId;
import org.teaseltrail.core.plan.PlanIndex;
import org.teaseltrail.core.plan.PlanService;
import org.teaseltrail.core.plan.ServingPlan;
import org.teaseltrail.core.quota.QuotaReport;
import org.teaseltrail.core.serving.ServingReply;

/**
 * Is an entry VM that forwards requests: admits them, places them, repeats them where that is
 * allowed, and ends each with one answer. It holds no body, socket or clock.
 *
 * <p>Time is that of a clock which also counts freezes.
 */
public final class ForwardNode {

  /** When a caller may come back that met a VM about to end; its next try goes to another VM. */
  private static final long ENDING_RETRY_MS = 20;

  private final ControlClient ties;
  private final UpstreamTracker upstreams = new UpstreamTracker();
  private final SlotGrantTracker slots = new SlotGrantTracker();
  private final RateLimitClient limits;
  private final BackpressureHandler backpressure;
  private final QuarantineTracker quarantine;
  private final VersionRouter gate;
  private final LocalQuotaTracker quotas;
  private final RequestCoordinator requests;
  private final QuotaAdmissionFilter quotaGate;
  private final AdmissionController reception;
  private final LeaderReporter reports;
  private boolean ending;
  private List<ForwardAction> out = new ArrayList<>();

  /**
   * Creates a VM without a plan.
   *
   * @param settings its settings
   */
  public ForwardNode(ForwardSettings settings) {
    final RandomGenerator random = new SplittableRandom(settings.seed());
    ties = new ControlClient(settings);
    quarantine = new QuarantineTracker(settings.vm(), ties::hasLeader);
    limits = new RateLimitClient(settings.vm(), upstreams);
    backpressure = new BackpressureHandler(upstreams, limits);
    gate = new VersionRouter(settings.vm(), settings.incarnation(), upstreams);
    requests =
        new RequestCoordinator(
            settings,
            new LoadBalancingPolicy(random),
            upstreams,
            slots,
            quarantine,
            gate,
            this::isEngine,
            action -> out.add(action));
    quotas = new LocalQuotaTracker(settings.quotas(), settings.sessionLifetimeMs());
    quotaGate = new QuotaAdmissionFilter(quotas, requests, ties, action -> out.add(action));
    reception = new AdmissionController(random, ties, quotaGate, action -> out.add(action));
    reports =
        new LeaderReporter(
            ties, upstreams, slots, requests, quarantine, gate, limits, action -> out.add(action));
  }

  /**
   * Begins: connects to the seeds.
   *
   * @return what is to be done
   */
  public List<ForwardAction> start() {
    out.add(new ForwardAction.ConnectToMembers(ties.members()));
    return drain();
  }

  /**
   * Takes other seeds, to be asked once the members known now don't answer.
   *
   * @param seeds control members' VMs
   */
  public void seeds(List<VmId> seeds) {
    ties.seeds(seeds);
  }

  /**
   * Takes no requests from now on. Guards against a request that comes late in a shutdown, over a
   * connection that was kept: it would be cut at the end, though another VM could have served it.
   */
  public void end() {
    ending = true;
  }

  /**
   * Takes a request that was read whole.
   *
   * @param request the request
   * @param nowNs time
   * @return what is to be done
   */
  public List<ForwardAction> onRequest(ForwardRequest request, long nowNs) {
    if (ending) {
      refuse(request.number(), RefusalReason.ENDING, ENDING_RETRY_MS);
      return take(nowNs);
    }
    reception.onRequest(request, nowNs);
    return take(nowNs);
  }

  /**
   * Takes the end of an attempt.
   *
   * @param number the request's number
   * @param end how it ended
   * @param nowNs time
   * @return what is to be done
   */
  public List<ForwardAction> onAttemptEnded(long number, AttemptOutcome end, long nowNs) {
    requests.onAttemptEnded(number, end, nowNs);
    return take(nowNs);
  }

  /**
   * Notes that the caller has got the first part of a stream.
   *
   * @param number the request's number
   * @param nowNs time
   * @return what is to be done
   */
  public List<ForwardAction> onResponseStarted(long number, long nowNs) {
    requests.onResponseStarted(number, nowNs);
    return take(nowNs);
  }

  /**
   * Takes the load that an upstream has told with an answer.
   *
   * @param upstream the upstream
   * @param requests requests that it works on or that wait there
   * @param nowNs time
   */
  public void onLoadReport(UpstreamId upstream, int requests, long nowNs) {
    upstreams.recordLoad(upstream, requests, nowNs);
  }

  /**
   * Returns what takes in how much work upstreams ask for.
   *
   * @return the upstreams' signals
   */
  public BackpressureHandler backpressure() {
    return backpressure;
  }

  /**
   * Takes what an upstream needed for a part of an answer: a stream's event, or the whole answer of
   * a plain service.
   *
   * @param upstream the upstream
   * @param elapsedMs the time, in milliseconds
   * @param nowNs time
   */
  public void recordEventLatency(UpstreamId upstream, double elapsedMs, long nowNs) {
    upstreams.recordEventLatency(upstream, elapsedMs, nowNs);
  }

  /**
   * Takes the mean time between the events of a stream that is about to end.
   *
   * @param number the request's number
   * @param elapsedMs the time, in milliseconds
   */
  public void recordEventInterval(long number, double elapsedMs) {
    requests.recordEventInterval(number, elapsedMs);
  }

  /**
   * Takes a caller's leaving: nothing more is done for its request.
   *
   * @param number the request's number
   * @param nowNs time
   * @return what is to be done
   */
  public List<ForwardAction> onCallerDisconnected(long number, long nowNs) {
    reception.onCallerDisconnected(number);
    quotaGate.onCallerDisconnected(number);
    requests.onCallerDisconnected(number, nowNs);
    return take(nowNs);
  }

  /**
   * Takes what a control member says.
   *
   * @param reply the message
   * @param nowNs time
   * @return what is to be done
   */
  public List<ForwardAction> onControlMessage(ServingReply reply, long nowNs) {
    if (reply instanceof ServingReply.Confirmed confirmed) {
      confirmed(confirmed, nowNs);
    } else if (reply instanceof ServingReply.NotLeading other) {
      ties.session().notLeading(other);
      learnMembers(other);
    } else if (reply instanceof ServingReply.Contention contention) {
      if (ties.session().isCurrentLeadership(contention.fencing())) {
        slots.contended(contention.fencing(), contention.services(), nowNs);
        requests.dispatchQueued(nowNs);
      }
    } else if (reply instanceof ServingReply.SlotGrant grant) {
      if (ties.session().isCurrentLeadership(grant.fencing())) {
        slots.granted(grant.fencing(), grant.sequence(), nowNs);
        requests.granted(grant, nowNs);
      }
    } else if (reply instanceof ServingReply.PlanUpdate update) {
      if (ties.session().isCurrentLeadership(update.fencing())) {
        apply(update.plan(), nowNs);
      }
    } else if (reply instanceof ServingReply.RegistryUpdate update) {
      if (ties.session().isCurrentLeadership(update.fencing())) {
        upstreams.update(update.revision(), update.present());
        requests.dispatchQueued(nowNs);
      }
    } else if (reply instanceof ServingReply.RolloutUpdate update) {
      if (ties.session().isCurrentLeadership(update.fencing())) {
        gate.applyUpdate(update);
        requests.dispatchQueued(nowNs);
      }
    } else if (reply instanceof ServingReply.CanaryLoans loans) {
      if (ties.session().isCurrentLeadership(loans.fencing())) {
        gate.lent(loans);
      }
    } else if (reply instanceof ServingReply.LimitUpdate update) {
      if (ties.session().isCurrentLeadership(update.fencing())) {
        limits.applyUpdate(update, nowNs);
        requests.dispatchQueued(nowNs);
      }
    } else if (reply instanceof ServingReply.SendPermits permits) {
      if (ties.session().isCurrentLeadership(permits.fencing())) {
        limits.applyPermits(permits);
        requests.dispatchQueued(nowNs);
      }
    } else if (reply instanceof ServingReply.QuarantineUpdate update) {
      if (ties.session().isCurrentLeadership(update.fencing())) {
        quarantine.applyUpdate(update, nowNs);
        requests.abortQuarantined(nowNs);
        requests.dispatchQueued(nowNs);
      }
    } else if (reply instanceof ServingReply.Trial trial) {
      if (ties.session().isCurrentLeadership(trial.fencing())) {
        quarantine.addTrialPermit(trial, nowNs);
      }
    }
    return take(nowNs);
  }

  /**
   * Does what is due.
   *
   * @param nowNs time
   * @return what is to be done
   */
  public List<ForwardAction> tick(long nowNs) {
    List<ForwardAction> syncs = ties.dueSyncs(this, nowNs);
    out.addAll(syncs);
    if (!syncs.isEmpty()) {
      reports.reportWithSync(nowNs);
    }
    if (ties.addSeedsWithoutSession(nowNs)) {
      out.add(new ForwardAction.ConnectToMembers(ties.members()));
    }
    reception.tick(nowNs);
    quotaGate.tick(nowNs);
    requests.tick(nowNs);
    return take(nowNs);
  }

  /**
   * Returns when the next tick is wanted.
   *
   * @return time in nanoseconds
   */
  public long nextWakeupNs() {
    return LongStream.of(
            ties.nextSyncNs(),
            requests.nextDueNs().orElse(Long.MAX_VALUE),
            quotaGate.nextDueNs().orElse(Long.MAX_VALUE),
            reception.nextDueNs().orElse(Long.MAX_VALUE))
        .min()
        .getAsLong();
  }

  /**
   * Tells whether callers may be sent here.
   *
   * @param nowNs time
   * @return true while the plan is known to be the newest
   */
  public boolean isReady(long nowNs) {
    return reception.plan().isPresent() && ties.session().isValid(nowNs);
  }

  /**
   * Returns the plan in force.
   *
   * @return the plan, if one has come
   */
  public Optional<ServingPlan> plan() {
    return reception.plan().map(PlanIndex::plan);
  }

  /**
   * Returns how many requests have no answer yet.
   *
   * @return those that wait and those at upstreams
   */
  public int openRequests() {
    return requests.openRequests() + quotaGate.waiting() + reception.waiting();
  }

  long planVersion() {
    return reception.plan().map(held -> held.plan().version()).orElse(-1L);
  }

  long registryRevision() {
    return upstreams.revision();
  }

  long quarantineRevision() {
    return quarantine.revision(ties.session().newestFencing());
  }

  long rolloutRevision() {
    return gate.revision();
  }

  Map<UpstreamId, Integer> inFlight() {
    return upstreams.inFlight();
  }

  List<QuotaReport> quotaReports(long sequence, long nowNs) {
    return quotas.uses(sequence, ties.session().isValid(nowNs), nowNs);
  }

  private void confirmed(ServingReply.Confirmed confirmed, long nowNs) {
    FencingNumber before = ties.session().newestFencing();
    if (!ties.session().confirmed(confirmed, nowNs)) {
      return;
    }
    quarantine.scheduleResend(!confirmed.fencing().equals(before), nowNs);
    learnMembers(confirmed);
    requests.vmCount(confirmed.vmCount());
    upstreams.updateSlots(confirmed.places(), confirmed.registryRevision(), nowNs);
    slots.contended(confirmed.fencing(), confirmed.contended(), nowNs);
    quotaGate.onConfirmed(confirmed, nowNs);
    reception.retryWaiting(nowNs);
    requests.dispatchQueued(nowNs);
  }

  private void learnMembers(ServingReply reply) {
    if (ties.updateMembers(reply)) {
      out.add(new ForwardAction.ConnectToMembers(ties.members()));
    }
  }

  private void apply(ServingPlan newer, long nowNs) {
    if (newer.version() <= planVersion()) {
      return;
    }
    quotas.configure(newer);
    reception.configure(new PlanIndex(newer));
    ties.session().recordPlanVersion(newer.version());
    reception.retryWaiting(nowNs);
  }

  private boolean isEngine(ServiceId service) {
    return reception
        .plan()
        .flatMap(held -> held.service(service))
        .map(PlanService::engine)
        .orElse(false);
  }

  private void refuse(long number, RefusalReason refusal, long retryAfterMs) {
    out.add(ForwardAction.Refuse.beforeRouting(number, refusal, retryAfterMs));
  }

  /** Takes what is to be done; the leader is told of changes to what waits. */
  private List<ForwardAction> take(long nowNs) {
    if (requests.lines().hasWaiting()) {
      ties.syncForSlots();
    }
    reports.reportChanges(nowNs);
    return drain();
  }

  private List<ForwardAction> drain() {
    List<ForwardAction> taken = out;
    out = new ArrayList<>();
    return taken;
  }
}
