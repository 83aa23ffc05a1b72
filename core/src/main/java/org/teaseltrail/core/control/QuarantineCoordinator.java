package org.teaseltrail.core.control;

import java.util.HashSet;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
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
import org.teaseltrail.core.state.Command;

/**
 * Decides on the leader which requests no upstream may get, from what all entry VMs saw.
 *
 * <p>Guards against a request that ends each upstream which runs it: it shows as upstreams that end
 * one after the other while callers of all kinds lose their streams. A request is held as soon as
 * three upstreams were lost under it; each other request of their batches was there once or twice.
 * A loss is believed at once, since each second costs an upstream, and taken back when the upstream
 * is heard of again. A hold that has stood is in the log, so that no later leader begins anew.
 */
final class QuarantineCoordinator {

  private static final long NS_PER_MS = 1_000_000L;

  /**
   * Time after its newest loss for which the VMs tell of whole answers to a suspect: enough for one
   * that is asked for often, and so would be in many batches by chance.
   */
  private static final long WATCH_NS = 30_000 * NS_PER_MS;

  /** Time for which losses count; a request that ends upstreams may come seldom. */
  private static final long LOSS_RETENTION_MS = 600_000;

  /**
   * Time after a loss from which on a heartbeat shows that the upstream lives: one that was sent
   * before has come, or was given up, by then.
   */
  private static final long HEARTBEAT_DELAY_NS = 1_000 * NS_PER_MS;

  /**
   * Time after the newest loss from which on a hold goes into the log: two heartbeats of an
   * upstream that lives.
   */
  private static final long COMMIT_DELAY_NS = 3_000 * NS_PER_MS;

  /** Time that a VM has for a trial; the request may come seldom there. */
  private static final long TRIAL_VALIDITY_MS = 60_000;

  /**
   * Time after the beginning of a leadership in which all VMs tell their losses: two syncs of each.
   * Until then what the leader before said holds on.
   */
  private static final long INITIAL_REPORTS_NS = 500 * NS_PER_MS;

  private final Leadership leadership;
  private final LossTracker losses = new LossTracker(LOSS_RETENTION_MS);
  private final Map<UpstreamIncarnation, Long> beatsNs = new LinkedHashMap<>();
  private final long allToldNs;
  private Map<Fingerprint, Optional<CustomerId>> held = Map.of();
  private Set<Fingerprint> watched = Set.of();
  private long revision = 1;
  private boolean whole;

  QuarantineCoordinator(Leadership leadership) {
    this.leadership = leadership;
    allToldNs = leadership.nowNs() + INITIAL_REPORTS_NS;
    refresh();
  }

  /**
   * Takes what a VM saw.
   *
   * @return whether what the VMs are told has changed
   */
  boolean message(ServingMessage.Losses message) {
    for (Loss loss : message.losses()) {
      long atNs = leadership.nowNs() - loss.agoMs() * NS_PER_MS;
      losses.recordLoss(loss.request(), loss.customer(), loss.upstream(), atNs);
      Long beatNs = beatsNs.get(loss.upstream());
      if (beatNs != null) {
        losses.alive(loss.upstream(), beatNs - HEARTBEAT_DELAY_NS);
      }
    }
    message.served().forEach(this::servedWhole);
    releaseCleared();
    return refresh();
  }

  /**
   * Takes an upstream's heartbeat.
   *
   * @return whether what the VMs are told has changed
   */
  boolean onHeartbeat(Registration heard) {
    beatsNs.put(heard.upstreamIncarnation(), leadership.nowNs());
    boolean known =
        losses.alive(heard.upstreamIncarnation(), leadership.nowNs() - HEARTBEAT_DELAY_NS);
    return known && refresh();
  }

  /** Does what is due each second; returns whether what the VMs are told has changed. */
  boolean tick() {
    long nowNs = leadership.nowNs();
    losses.removeExpired(nowNs);
    beatsNs.values().removeIf(atNs -> nowNs - atNs > LOSS_RETENTION_MS * NS_PER_MS);
    for (Map.Entry<Fingerprint, Optional<CustomerId>> one :
        losses.findRequestsToHold().entrySet()) {
      boolean settled = nowNs - losses.newestLossNs(one.getKey()) >= COMMIT_DELAY_NS;
      if (settled && !heldBook().contains(one.getKey())) {
        long logTimeMs = leadership.logTimeMs(nowNs);
        HeldRequest request = new HeldRequest(one.getKey(), one.getValue(), logTimeMs, 0);
        leadership.proposeBestEffort(new Command.HoldRequest(request, logTimeMs));
      }
    }
    releaseCleared();
    heldBook().all().forEach(this::tryIfDue);
    return refresh();
  }

  /**
   * Looks again at what is held after a commit.
   *
   * @return whether what the VMs are told has changed
   */
  boolean refresh() {
    Map<Fingerprint, Optional<CustomerId>> nowHeld = new LinkedHashMap<>();
    heldBook().all().forEach(one -> nowHeld.put(one.request(), one.customer()));
    nowHeld.putAll(losses.findRequestsToHold());
    long watchedFromNs = leadership.nowNs() - WATCH_NS;
    Set<Fingerprint> nowWatched = new HashSet<>(losses.findLostAfter(watchedFromNs));
    nowWatched.removeAll(nowHeld.keySet());
    if (nowHeld.equals(held) && nowWatched.equals(watched)) {
      return false;
    }
    log(held, nowHeld);
    held = nowHeld;
    watched = nowWatched;
    revision++;
    return true;
  }

  /** Returns the revision that VMs should hold. */
  long revision() {
    if (!whole && leadership.nowNs() >= allToldNs) {
      whole = true;
      revision++;
    }
    return revision;
  }

  ServingReply.QuarantineUpdate buildUpdate() {
    return new ServingReply.QuarantineUpdate(
        leadership.fencing(), revision, whole, List.copyOf(held.keySet()), List.copyOf(watched));
  }

  /** A request that ends upstreams is never answered whole, so one that is harms nobody. */
  private void servedWhole(Fingerprint request) {
    losses.recordSuccess(request);
    if (heldBook().contains(request)) {
      release(request);
    }
  }

  /**
   * Lets a held request go to one upstream, by one VM. Guards against a hold that is wrong and
   * stands for its whole time: what is held is never answered, so nothing else could clear it. Each
   * trial is counted in the log first, so that no leader repeats it.
   */
  private void tryIfDue(HeldRequest one) {
    long logTimeMs = leadership.logTimeMs(leadership.nowNs());
    Optional<VmId> vm =
        one.isTrialDue(logTimeMs)
            ? leadership.servingCoordinator().pickRandomVm()
            : Optional.empty();
    vm.ifPresent(
        chosen ->
            leadership.proposeThen(
                new Command.TryRequest(one.request(), logTimeMs),
                () -> allow(chosen, one.request())));
  }

  private void allow(VmId vm, Fingerprint request) {
    leadership.sendServing(
        vm, new ServingReply.Trial(leadership.fencing(), request, TRIAL_VALIDITY_MS));
  }

  /** Lets go what was held long enough, and what was seen to harm nobody. */
  private void releaseCleared() {
    long logTimeMs = leadership.logTimeMs(leadership.nowNs());
    for (HeldRequest one : heldBook().all()) {
      if (one.isExpired(logTimeMs) || losses.isCleared(one.request())) {
        release(one.request());
      }
    }
  }

  private void release(Fingerprint request) {
    long logTimeMs = leadership.logTimeMs(leadership.nowNs());
    leadership.proposeBestEffort(new Command.ReleaseRequest(request, logTimeMs));
  }

  private HeldRequestStore heldBook() {
    return leadership.context().stateMachine().state().held();
  }

  private void log(
      Map<Fingerprint, Optional<CustomerId>> before, Map<Fingerprint, Optional<CustomerId>> after) {
    after.forEach(
        (request, customer) -> {
          if (!before.containsKey(request)) {
            leadership
                .context()
                .actions()
                .requestQuarantined(request, customer, losses.losses(request), after.size());
          }
        });
    before.forEach(
        (request, customer) -> {
          if (!after.containsKey(request)) {
            leadership.context().actions().requestReleased(request, customer, after.size());
          }
        });
  }
}
