package org.teaseltrail.core.control;

import java.util.HashMap;
import java.util.HashSet;
import java.util.LinkedHashMap;
import java.util.LinkedHashSet;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.OptionalLong;
import java.util.Set;
import org.teaseltrail.core.id.CustomerId;
import org.teaseltrail.core.id.VmId;
import org.teaseltrail.core.quarantine.Fingerprint;
import org.teaseltrail.core.quarantine.HeldRequest;
import org.teaseltrail.core.quarantine.HeldRequestStore;
import org.teaseltrail.core.quarantine.Loss;
import org.teaseltrail.core.quarantine.LossTracker;
import org.teaseltrail.core.registry.Registration;
import org.teaseltrail.core.registry.UpstreamIncarnation;
import org.teaseltrail.core.serving.ServingMessage;
import org.teaseltrail.core.serving.ServingReply;
import org.teaseltrail.core.session.Session;
import org.teaseltrail.core.state.Command;

/**
 * Decides, on the leader, which requests no upstream may receive, from the losses that all entry
 * VMs report.
 *
 * <p>Limits the damage of requests that crash each upstream that runs them: upstreams would fail
 * one after the other, and callers whose requests share those upstreams would lose their streams. A
 * request is quarantined as soon as three upstreams were lost while processing it; every other
 * request in the same batches was on one or two of them. A loss counts immediately, since each
 * second may cost another upstream, and is revoked when the upstream sends a heartbeat again. A
 * quarantine that has not been revoked for some seconds is committed to the log, so that it
 * survives a change of leader.
 */
final class QuarantineCoordinator {

  private static final long NS_PER_MS = 1_000_000L;

  /**
   * Time after the newest loss of a suspect request for which VMs report complete answers to it.
   * This clears a request that is sent so often that it is in many batches by chance.
   */
  private static final long WATCH_NS = 30_000 * NS_PER_MS;

  /** Time for which a loss counts; a request that crashes upstreams may be rare. */
  private static final long LOSS_RETENTION_MS = 600_000;

  /**
   * Time after a loss from which a heartbeat shows that the upstream is alive: a heartbeat that was
   * sent before the loss has arrived or timed out by then.
   */
  private static final long HEARTBEAT_DELAY_NS = 1_000 * NS_PER_MS;

  /**
   * Time after the newest loss from which a quarantine is committed to the log: two heartbeat
   * intervals of a live upstream.
   */
  private static final long COMMIT_DELAY_NS = 3_000 * NS_PER_MS;

  /** Time for which a VM may use its permission for a trial; the request may be rare at that VM. */
  private static final long TRIAL_VALIDITY_MS = 60_000;

  /** The same where the request waits at the VM. */
  private static final long UNDECIDED_TRIAL_VALIDITY_MS = 1_000;

  /**
   * Time after the start of a leadership within which all VMs report their losses: two sync
   * intervals. Until then the quarantine list of the previous leader stays in effect.
   */
  private static final long INITIAL_REPORTS_NS = 500 * NS_PER_MS;

  private final Leadership leadership;
  private final LossTracker losses = new LossTracker(LOSS_RETENTION_MS);
  private final QuarantineCandidates candidates = new QuarantineCandidates(losses);
  private final Map<UpstreamIncarnation, Long> heartbeatsNs = new LinkedHashMap<>();
  private final long initialReportsUntilNs;
  private final Map<VmId, ServingReply.Trial> helloTrials = new HashMap<>();
  private Map<Fingerprint, Optional<CustomerId>> held = Map.of();
  private Map<Fingerprint, Optional<CustomerId>> undecided = Map.of();
  private Set<Fingerprint> watched = Set.of();
  private long revision = 1;
  private boolean whole;

  QuarantineCoordinator(Leadership leadership) {
    this.leadership = leadership;
    initialReportsUntilNs = leadership.nowNs() + INITIAL_REPORTS_NS;
    refresh();
  }

  /**
   * Processes the losses and complete answers that a VM reports.
   *
   * @return whether the state to send to the VMs has changed
   */
  boolean message(ServingMessage.Losses message) {
    for (Loss loss : message.losses()) {
      long atNs = leadership.nowNs() - loss.agoMs() * NS_PER_MS;
      record(loss, atNs);
      Long heartbeatNs = heartbeatsNs.get(loss.upstream());
      if (heartbeatNs != null) {
        losses.alive(loss.upstream(), heartbeatNs - HEARTBEAT_DELAY_NS);
      }
    }
    message.served().forEach(this::onCompleteAnswer);
    message.copies().ifPresent(copies -> candidates.recordCopies(message.vm(), copies));
    releaseExpiredOrCleared();
    boolean isChanged = refresh();
    startUndecidedTrial();
    return isChanged;
  }

  private void record(Loss loss, long atNs) {
    if (loss.part().isEmpty()) {
      losses.recordLoss(loss.request(), loss.customer(), loss.upstream(), atNs);
      return;
    }
    OptionalLong servedAgoMs = loss.part().get().servedAgoMs();
    OptionalLong servedNs =
        servedAgoMs.isPresent()
            ? OptionalLong.of(leadership.nowNs() - servedAgoMs.getAsLong() * NS_PER_MS)
            : OptionalLong.empty();
    losses.recordPartLoss(loss.request(), loss.customer(), loss.upstream(), atNs, servedNs);
  }

  /**
   * Processes an upstream's heartbeat.
   *
   * @return whether the state to send to the VMs has changed
   */
  boolean onHeartbeat(Registration heard) {
    return onAlive(heard.upstreamIncarnation(), leadership.nowNs());
  }

  /**
   * Processes a sign of life of an upstream.
   *
   * @return whether the state to send to the VMs has changed
   */
  boolean onAlive(UpstreamIncarnation upstream, long heardNs) {
    heartbeatsNs.put(upstream, heardNs);
    boolean wasLost = losses.alive(upstream, heardNs - HEARTBEAT_DELAY_NS);
    return wasLost && refresh();
  }

  /** Returns whether any request is suspect, undecided or quarantined. */
  boolean hasSuspects() {
    return !held.isEmpty() || !undecided.isEmpty() || !watched.isEmpty();
  }

  /** Removes and returns the trial that a VM gets with the reply to its next hello. */
  Optional<ServingReply.Trial> takeTrial(VmId vm) {
    return Optional.ofNullable(helloTrials.remove(vm));
  }

  /**
   * Runs the periodic work, once a second; returns whether the state to send to the VMs has
   * changed.
   */
  boolean tick() {
    long nowNs = leadership.nowNs();
    losses.removeExpired(nowNs);
    heartbeatsNs.values().removeIf(atNs -> nowNs - atNs > LOSS_RETENTION_MS * NS_PER_MS);
    final boolean isChanged = refresh();
    for (Map.Entry<Fingerprint, Optional<CustomerId>> one : candidates.decided().entrySet()) {
      boolean isSettled = nowNs - losses.newestLossNs(one.getKey()) >= COMMIT_DELAY_NS;
      if (isSettled && !heldRequests().contains(one.getKey())) {
        long logTimeMs = leadership.logTimeMs(nowNs);
        HeldRequest request = new HeldRequest(one.getKey(), one.getValue(), logTimeMs, 0);
        leadership.proposeBestEffort(new Command.HoldRequest(request, logTimeMs));
      }
    }
    releaseExpiredOrCleared();
    heldRequests().all().forEach(this::startTrialIfDue);
    startUndecidedTrial();
    return isChanged;
  }

  /**
   * Recomputes the quarantined and the watched requests.
   *
   * @return whether the state to send to the VMs has changed
   */
  boolean refresh() {
    Map<Fingerprint, Optional<CustomerId>> newHeld = new LinkedHashMap<>();
    heldRequests().all().forEach(one -> newHeld.put(one.request(), one.customer()));
    candidates.update(leadership.nowNs());
    newHeld.putAll(candidates.decided());
    Map<Fingerprint, Optional<CustomerId>> newUndecided = candidates.undecided();
    newUndecided.keySet().removeAll(newHeld.keySet());
    long watchStartNs = leadership.nowNs() - WATCH_NS;
    Set<Fingerprint> newWatched = new HashSet<>(losses.findLostAfter(watchStartNs));
    newWatched.removeAll(newHeld.keySet());
    if (newHeld.equals(held) && newUndecided.equals(undecided) && newWatched.equals(watched)) {
      return false;
    }
    log(newHeld, newUndecided);
    held = newHeld;
    undecided = newUndecided;
    watched = newWatched;
    revision++;
    return true;
  }

  /** Returns the revision that VMs should have. */
  long revision() {
    if (!whole && leadership.nowNs() >= initialReportsUntilNs) {
      whole = true;
      revision++;
    }
    return revision;
  }

  ServingReply.QuarantineUpdate buildUpdate() {
    Set<Fingerprint> notSent = new LinkedHashSet<>(held.keySet());
    notSent.addAll(undecided.keySet());
    return new ServingReply.QuarantineUpdate(
        leadership.fencing(),
        revision,
        whole,
        List.copyOf(notSent),
        List.copyOf(watched),
        Optional.of(List.copyOf(undecided.keySet())));
  }

  /** Releases a request that was answered completely: a request that crashes upstreams never is. */
  private void onCompleteAnswer(Fingerprint request) {
    losses.recordSuccess(request);
    if (undecided.containsKey(request)) {
      candidates.recordAnswer();
    }
    if (heldRequests().contains(request)) {
      release(request);
    }
  }

  /**
   * Lets one VM send a quarantined request to one upstream. Without trials, a request that was
   * quarantined by mistake would stay so until its quarantine expires: it is never answered, so
   * nothing could clear it. Each trial is counted in the log first, so that no later leader repeats
   * it.
   */
  private void startTrialIfDue(HeldRequest one) {
    long logTimeMs = leadership.logTimeMs(leadership.nowNs());
    Optional<VmId> vm = one.isTrialDue(logTimeMs) ? pickVm() : Optional.empty();
    vm.ifPresent(
        selected ->
            leadership.proposeThen(
                new Command.TryRequest(one.request(), logTimeMs),
                () -> sendTrial(selected, one.request(), TRIAL_VALIDITY_MS)));
  }

  /** Selects a VM that places requests itself, or else one whose requests are scheduled here. */
  private Optional<VmId> pickVm() {
    return leadership
        .servingCoordinator()
        .pickRandomVm()
        .or(() -> leadership.sessions().all().stream().map(Session::vm).findAny());
  }

  /**
   * Lets a VM at which an undecided request waits send one copy of it. Such a trial is not counted
   * in the log: if the leader changes, the next one observes the request anew before it tries it.
   */
  private void startUndecidedTrial() {
    long nowNs = leadership.nowNs();
    candidates
        .startDueTrial(nowNs)
        .ifPresent(trial -> sendTrial(trial.vm(), trial.request(), UNDECIDED_TRIAL_VALIDITY_MS));
  }

  private void sendTrial(VmId vm, Fingerprint request, long validityMs) {
    ServingReply.Trial trial = new ServingReply.Trial(leadership.fencing(), request, validityMs);
    if (leadership.sessions().find(vm).isPresent()) {
      helloTrials.put(vm, trial);
    } else {
      leadership.sendServing(vm, trial);
    }
  }

  /** Releases requests whose quarantine has expired or that were found to be harmless. */
  private void releaseExpiredOrCleared() {
    long logTimeMs = leadership.logTimeMs(leadership.nowNs());
    for (HeldRequest one : heldRequests().all()) {
      if (one.isExpired(logTimeMs) || losses.isCleared(one.request())) {
        release(one.request());
      }
    }
  }

  private void release(Fingerprint request) {
    long logTimeMs = leadership.logTimeMs(leadership.nowNs());
    leadership.proposeBestEffort(new Command.ReleaseRequest(request, logTimeMs));
  }

  private HeldRequestStore heldRequests() {
    return leadership.context().stateMachine().state().held();
  }

  /** Logs the changes from the present quarantined and undecided requests to new ones. */
  private void log(
      Map<Fingerprint, Optional<CustomerId>> newHeld,
      Map<Fingerprint, Optional<CustomerId>> newUndecided) {
    ActionBuffer actions = leadership.context().actions();
    newHeld.forEach(
        (request, customer) -> {
          if (!held.containsKey(request)) {
            actions.requestQuarantined(request, customer, losses.losses(request), newHeld.size());
          }
        });
    newUndecided.forEach(
        (request, customer) -> {
          if (!undecided.containsKey(request)) {
            actions.requestUndecided(request, customer, losses.losses(request));
          }
        });
    Map<Fingerprint, Optional<CustomerId>> released = new LinkedHashMap<>(held);
    released.putAll(undecided);
    released.keySet().removeAll(newHeld.keySet());
    released.keySet().removeAll(newUndecided.keySet());
    released.forEach(
        (request, customer) -> actions.requestReleased(request, customer, newHeld.size()));
  }
}
