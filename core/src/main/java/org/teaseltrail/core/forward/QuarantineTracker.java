package org.teaseltrail.core.forward;

import java.util.HashMap;
import java.util.HashSet;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.function.LongPredicate;
import org.teaseltrail.core.id.FencingNumber;
import org.teaseltrail.core.id.VmId;
import org.teaseltrail.core.quarantine.Fingerprint;
import org.teaseltrail.core.quarantine.LossTracker;
import org.teaseltrail.core.registry.UpstreamIncarnation;
import org.teaseltrail.core.serving.ServingMessage;
import org.teaseltrail.core.serving.ServingReply;

/**
 * Knows at an entry VM which requests no upstream may get, and tells the leader what this VM sees.
 *
 * <p>Guards against a request that ends each upstream which runs it and comes again under another
 * id, at any VM. The leader, which hears of all losses, says which are held; what it said last
 * holds on without it, and then what this VM saw itself counts too.
 */
final class QuarantineTracker {

  private static final long NS_PER_MS = 1_000_000L;

  /** When a caller may ask again, in milliseconds; a hold that was wrong ends sooner. */
  static final long RETRY_AFTER_MS = 60_000;

  /**
   * How long this VM remembers what it saw, in milliseconds: for a leader that begins anew. The
   * leader tells of each suspect for as long.
   */
  private static final long MEMORY_MS = 30_000;

  /** Time after a loss by which the leader has heard of it and tells of the suspect. */
  private static final long TOLD_BACK_NS = 1_000_000_000L;

  /** Time for which a report is told again: one that is lost with its connection comes again. */
  private static final long TELL_AGAIN_NS = 2_000_000_000L;

  /** Suspects seen served whole that are told at most. */
  private static final int MOST_SERVED = 32;

  private final VmId vm;
  private final LongPredicate hasLeader;
  private final LossTracker own = new LossTracker(MEMORY_MS);
  private final Map<Fingerprint, Long> servedNs = new LinkedHashMap<>();
  private final Map<Fingerprint, Long> trialsUntilNs = new HashMap<>();
  private Set<Fingerprint> held = Set.of();
  private Set<Fingerprint> watched = Set.of();
  private Set<Integer> toldScopes = Set.of();
  private FencingNumber fencing = new FencingNumber(0);
  private long revision;
  private long changedNs;
  private boolean untold;

  QuarantineTracker(VmId vm, LongPredicate leaderHeard) {
    this.vm = vm;
    this.hasLeader = leaderHeard;
  }

  /** Tells whether a request must not be sent to any upstream. */
  boolean isQuarantined(ActiveRequest request, long nowNs) {
    if (knowsNone() || request.isTrial() || !isKnownScope(request.scope())) {
      return false;
    }
    Fingerprint print = request.fingerprint();
    return held.contains(print) || (!hasLeader.test(nowNs) && own.mustHold(print));
  }

  /** Tells whether upstreams' connections lately ended under a request. */
  boolean isSuspect(ActiveRequest request) {
    if (knowsNone() || !isKnownScope(request.scope())) {
      return false;
    }
    Fingerprint print = request.fingerprint();
    return watched.contains(print) || held.contains(print) || own.losses(print) > 0;
  }

  /** Uses the leader's leave to send a held request once; returns whether there is one. */
  boolean useTrialPermit(ActiveRequest request, long nowNs) {
    Long untilNs = trialsUntilNs.remove(request.fingerprint());
    boolean taken = untilNs != null && nowNs <= untilNs;
    if (taken) {
      request.markTrial();
    }
    return taken;
  }

  /** Takes the leader's leave to send a held request once. */
  void addTrialPermit(ServingReply.Trial trial, long nowNs) {
    trialsUntilNs.values().removeIf(untilNs -> nowNs > untilNs);
    trialsUntilNs.put(trial.request(), nowNs + trial.forMs() * NS_PER_MS);
  }

  /** Notes that the connection to an upstream ended while it had a request. */
  void recordLoss(ActiveRequest request, UpstreamIncarnation upstream, long nowNs) {
    own.recordLoss(request.fingerprint(), request.customer(), upstream, nowNs);
    servedNs.remove(request.fingerprint());
    changed(nowNs);
  }

  /** Notes that an upstream has answered a request whole and lives on: it harms nobody. */
  void recordCompleted(ActiveRequest request, long nowNs) {
    if (isSuspect(request)) {
      Fingerprint print = request.fingerprint();
      own.recordSuccess(print);
      servedNs.put(print, nowNs);
      if (servedNs.size() > MOST_SERVED) {
        servedNs.remove(servedNs.keySet().iterator().next());
      }
      changed(nowNs);
    }
  }

  /** Takes what the leader says is held. */
  void applyUpdate(ServingReply.QuarantineUpdate update, long nowNs) {
    fencing = update.fencing();
    revision = update.revision();
    Set<Fingerprint> newlyHeld = new HashSet<>(update.held());
    if (!update.whole()) {
      newlyHeld.addAll(held);
    }
    held = newlyHeld;
    watched = Set.copyOf(update.watched());
    if (update.whole()) {
      excuseCleared(nowNs);
    }
    Set<Integer> scopes = new HashSet<>();
    held.forEach(print -> scopes.add(print.scope()));
    watched.forEach(print -> scopes.add(print.scope()));
    toldScopes = scopes;
  }

  /**
   * Excuses own losses of what the leader doesn't suspect any longer. Guards against a request that
   * was cleared and is held by the next leader, which hears of the losses alone.
   */
  private void excuseCleared(long nowNs) {
    for (Fingerprint print : own.findLostBefore(nowNs - TOLD_BACK_NS)) {
      if (!held.contains(print) && !watched.contains(print)) {
        own.recordSuccess(print);
      }
    }
  }

  /** Returns the revision in force here if a leadership has told it, or else 0. */
  long revision(FencingNumber leadership) {
    return leadership.equals(fencing) ? revision : 0;
  }

  /** Tells all anew to a leader that may not have heard it; forgets what is old. */
  void scheduleResend(boolean newLeader, long nowNs) {
    own.removeExpired(nowNs);
    boolean lately = nowNs - changedNs < TELL_AGAIN_NS;
    untold |= changedNs > 0 && (newLeader || lately);
  }

  /** Tells whether there is something that the leader hasn't been told. */
  boolean hasPendingReport() {
    return untold;
  }

  /** Returns what the leader is to be told. */
  ServingMessage.Losses createReport(long nowNs) {
    untold = false;
    servedNs.values().removeIf(atNs -> nowNs - atNs > TELL_AGAIN_NS);
    return new ServingMessage.Losses(vm, own.all(nowNs), List.copyOf(servedNs.keySet()));
  }

  /**
   * Tells whether there is neither a suspect nor a held request, so that nothing need be looked up.
   */
  private boolean knowsNone() {
    return toldScopes.isEmpty() && own.isEmpty();
  }

  private boolean isKnownScope(int scope) {
    return toldScopes.contains(scope) || own.hasScope(scope);
  }

  private void changed(long nowNs) {
    changedNs = nowNs;
    untold = true;
  }
}
