package org.teaseltrail.core.suspect;

import java.util.HashMap;
import java.util.HashSet;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.OptionalLong;
import java.util.Set;
import java.util.function.LongPredicate;
import org.teaseltrail.core.collection.OrderedCopies;
import org.teaseltrail.core.id.CustomerId;
import org.teaseltrail.core.id.FencingNumber;
import org.teaseltrail.core.id.VmId;
import org.teaseltrail.core.quarantine.Fingerprint;
import org.teaseltrail.core.quarantine.Loss;
import org.teaseltrail.core.quarantine.LossTracker;
import org.teaseltrail.core.quarantine.PartFeature;
import org.teaseltrail.core.quarantine.RepeatedLoss;
import org.teaseltrail.core.quarantine.SuspectCopies;
import org.teaseltrail.core.registry.UpstreamIncarnation;
import org.teaseltrail.core.serving.ServingMessage;
import org.teaseltrail.core.serving.ServingReply;

/**
 * Tracks quarantined requests at an entry VM, and reports to the leader under which requests
 * upstreams were lost.
 *
 * <p>The quarantine stops a request that crashes each upstream which runs it and returns under
 * another id, at any VM. The leader receives the losses of all VMs and decides which requests are
 * quarantined. Without a leader its last decisions stay in effect, and this VM's own losses count
 * in addition.
 */
public final class QuarantineTracker {

  private static final long NS_PER_MS = 1_000_000L;

  /**
   * Retry-after for quarantined requests, in milliseconds; a quarantine that was wrong ends
   * earlier.
   */
  public static final long RETRY_AFTER_MS = 60_000;

  /**
   * How long this VM retains what it observed, in milliseconds, so that it can be reported to a new
   * leader. The leader publishes each suspect for as long.
   */
  private static final long RETENTION_MS = 30_000;

  /** Time after a loss by which the leader has received it and published the suspect. */
  private static final long SUSPECT_PUBLISHED_NS = 1_000_000_000L;

  /** Time for which a report is repeated, as one may be lost with its connection. */
  private static final long RESEND_NS = 2_000_000_000L;

  /** Maximum number of reported suspects whose request was completed. */
  private static final int MAX_COMPLETED = 128;

  /** Maximum number of parts of prompts of which it is remembered that they were answered. */
  private static final int MAX_SERVED_PARTS = 4_096;

  private final VmId vm;
  private final LongPredicate hasLeader;
  private final LossTracker ownLosses;
  private final Map<Fingerprint, Long> completedAtNs = new LinkedHashMap<>();
  private final Map<Fingerprint, Long> trialPermitExpiriesNs = new HashMap<>();
  private final Map<Integer, Long> servedParts = new LinkedHashMap<>();
  private Set<Fingerprint> held = Set.of();
  private Set<Fingerprint> undecided = Set.of();
  private Set<Fingerprint> watched = Set.of();
  private List<SuspectCopies> copies = List.of();
  private Set<Integer> knownScopes = Set.of();
  private FencingNumber fencing = new FencingNumber(0);
  private long revision;
  private long lastChangeNs;
  private boolean reportPending;
  private boolean leaderKnowsParts = true;

  /**
   * Creates a tracker without losses.
   *
   * @param vm this VM
   * @param hasLeader returns whether there is a leader at a time, so that its decisions replace
   *     this VM's own
   * @param repeatedLoss how further losses of one incarnation of an upstream count
   */
  public QuarantineTracker(VmId vm, LongPredicate hasLeader, RepeatedLoss repeatedLoss) {
    this.vm = vm;
    this.hasLeader = hasLeader;
    ownLosses = new LossTracker(RETENTION_MS, repeatedLoss);
  }

  /**
   * Returns whether a request must not be sent to any upstream.
   *
   * @param request the request
   * @param nowNs current time, in nanoseconds
   * @return true if it is quarantined and no trial
   */
  public boolean isQuarantined(QuarantineSubject request, long nowNs) {
    if (!hasSuspects() || request.isTrial()) {
      return false;
    }
    boolean decidesAlone = !hasLeader.test(nowNs);
    return request.fingerprints(this::isKnownScope).stream()
        .anyMatch(one -> held.contains(one) || (decidesAlone && ownLosses.mustHold(one)));
  }

  /**
   * Returns whether any request is undecided.
   *
   * @return true if there is one
   */
  public boolean hasUndecided() {
    return !undecided.isEmpty();
  }

  /**
   * Returns whether a request must wait until the leader has decided whether it is quarantined.
   *
   * @param request the request
   * @return true if it is undecided and no trial
   */
  public boolean isUndecided(QuarantineSubject request) {
    return !undecided.isEmpty()
        && !request.isTrial()
        && knownScopes.contains(request.scope())
        && undecided.contains(request.fingerprint());
  }

  /**
   * Returns whether upstreams' connections have recently ended while they processed requests with
   * this content, or whether a part of its prompt is quarantined.
   *
   * @param request the request
   * @return true if so
   */
  public boolean isSuspect(QuarantineSubject request) {
    if (!hasSuspects()) {
      return false;
    }
    boolean hasHeldPart =
        request.parts().stream()
            .filter(part -> isKnownScope(part.scope()))
            .anyMatch(part -> held.contains(part.fingerprint()));
    if (hasHeldPart || !isKnownScope(request.scope())) {
      return hasHeldPart;
    }
    Fingerprint fingerprint = request.fingerprint();
    return isKnown(fingerprint);
  }

  /**
   * Uses up the leader's permit to send a quarantined request once; returns whether there was one.
   *
   * @param request the request
   * @param nowNs current time, in nanoseconds
   * @return whether there was a permit
   */
  public boolean useTrialPermit(QuarantineSubject request, long nowNs) {
    boolean taken =
        !trialPermitExpiriesNs.isEmpty()
            && request.fingerprints(this::isKnownScope).stream()
                .map(trialPermitExpiriesNs::remove)
                .anyMatch(expiryNs -> expiryNs != null && nowNs <= expiryNs);
    if (taken) {
      request.markTrial();
    }
    return taken;
  }

  /**
   * Adds a permit of the leader to send a quarantined request once.
   *
   * @param trial the permit
   * @param nowNs current time, in nanoseconds
   */
  public void addTrialPermit(ServingReply.Trial trial, long nowNs) {
    trialPermitExpiriesNs.values().removeIf(expiryNs -> nowNs > expiryNs);
    trialPermitExpiriesNs.put(trial.request(), nowNs + trial.forMs() * NS_PER_MS);
  }

  /**
   * Records that an upstream was lost while it processed a request.
   *
   * @param request the request
   * @param customer the customer that sent it, if known
   * @param upstream the incarnation of the upstream
   * @param atNs time of the loss, in nanoseconds
   * @param nowNs current time, in nanoseconds
   */
  public void recordLoss(
      Fingerprint request,
      Optional<CustomerId> customer,
      UpstreamIncarnation upstream,
      long atNs,
      long nowNs) {
    ownLosses.recordLoss(request, customer, upstream, atNs);
    completedAtNs.remove(request);
    markChanged(nowNs);
  }

  /**
   * Records that an upstream was lost while it processed a request, against a part of the request's
   * prompt.
   *
   * @param part the part
   * @param upstream the incarnation of the upstream
   * @param atNs time of the loss, in nanoseconds
   * @param nowNs current time, in nanoseconds
   */
  public void recordPartLoss(
      PartFeature part, UpstreamIncarnation upstream, long atNs, long nowNs) {
    Long servedNs = servedParts.get(part.scope());
    Fingerprint fingerprint = part.fingerprint();
    ownLosses.recordPartLoss(
        fingerprint,
        part.customer(),
        upstream,
        atNs,
        servedNs == null ? OptionalLong.empty() : OptionalLong.of(servedNs));
    completedAtNs.remove(fingerprint);
    markChanged(nowNs);
  }

  /**
   * Records that an upstream completed a request and is still alive, so that its content and the
   * parts of its prompt are harmless.
   *
   * @param request the request
   * @param nowNs current time, in nanoseconds
   */
  public void recordCompleted(QuarantineSubject request, long nowNs) {
    request.parts().forEach(part -> recordServedPart(part.scope(), nowNs));
    if (!hasSuspects()) {
      return;
    }
    for (Fingerprint one : request.fingerprints(this::isKnownScope)) {
      if (isKnown(one)) {
        ownLosses.recordSuccess(one);
        completedAtNs.put(one, nowNs);
        if (completedAtNs.size() > MAX_COMPLETED) {
          completedAtNs.remove(completedAtNs.keySet().iterator().next());
        }
        markChanged(nowNs);
      }
    }
  }

  private boolean isKnown(Fingerprint one) {
    return watched.contains(one)
        || undecided.contains(one)
        || held.contains(one)
        || ownLosses.losses(one) > 0;
  }

  private void recordServedPart(int scope, long nowNs) {
    servedParts.remove(scope);
    servedParts.put(scope, nowNs);
    if (servedParts.size() > MAX_SERVED_PARTS) {
      servedParts.remove(servedParts.keySet().iterator().next());
    }
  }

  /**
   * Applies the leader's list of quarantined requests and suspects.
   *
   * @param update the list
   * @param nowNs current time, in nanoseconds
   */
  public void applyUpdate(ServingReply.QuarantineUpdate update, long nowNs) {
    fencing = update.fencing();
    revision = update.revision();
    Set<Fingerprint> newlyHeld = new HashSet<>(update.held());
    Set<Fingerprint> newlyUndecided = new HashSet<>(update.undecided().orElse(List.of()));
    newlyHeld.removeAll(newlyUndecided);
    if (!update.whole()) {
      newlyHeld.addAll(held);
      newlyUndecided.addAll(undecided);
      newlyUndecided.removeAll(newlyHeld);
    }
    held = newlyHeld;
    undecided = newlyUndecided;
    watched = OrderedCopies.setOf(update.watched());
    if (update.whole()) {
      discardCleared(nowNs);
    }
    Set<Integer> scopes = new HashSet<>();
    held.forEach(fingerprint -> scopes.add(fingerprint.scope()));
    undecided.forEach(fingerprint -> scopes.add(fingerprint.scope()));
    watched.forEach(fingerprint -> scopes.add(fingerprint.scope()));
    knownScopes = scopes;
  }

  /**
   * Discards own losses of requests that the leader no longer suspects. Otherwise a cleared request
   * would be quarantined by the next leader, which receives only the losses.
   */
  private void discardCleared(long nowNs) {
    for (Fingerprint fingerprint : ownLosses.findLostBefore(nowNs - SUSPECT_PUBLISHED_NS)) {
      if (!held.contains(fingerprint)
          && !undecided.contains(fingerprint)
          && !watched.contains(fingerprint)) {
        ownLosses.recordSuccess(fingerprint);
      }
    }
  }

  /**
   * Returns the revision applied here if it is of the given leadership, otherwise 0.
   *
   * @param leadership fencing number of the newest leadership
   * @return the revision if it is of that leadership, otherwise 0
   */
  public long revision(FencingNumber leadership) {
    return leadership.equals(fencing) ? revision : 0;
  }

  /**
   * Schedules another report for a leader that may not have received the last one, and drops
   * expired losses.
   *
   * @param newLeader whether the leadership is new to this VM
   * @param nowNs current time, in nanoseconds
   */
  public void scheduleResend(boolean newLeader, long nowNs) {
    ownLosses.removeExpired(nowNs);
    boolean recent = nowNs - lastChangeNs < RESEND_NS;
    reportPending |= lastChangeNs > 0 && (newLeader || recent);
  }

  /**
   * Sets this VM's copies of undecided requests; a change is reported.
   *
   * @param newCopies the copies
   */
  public void setCopies(List<SuspectCopies> newCopies) {
    reportPending |= !copies.equals(newCopies);
    copies = List.copyOf(newCopies);
  }

  /**
   * Returns whether there is an unsent report.
   *
   * @return true if one is due
   */
  public boolean hasPendingReport() {
    return reportPending;
  }

  /**
   * Returns the report for the leader.
   *
   * @param nowNs current time, in nanoseconds
   * @return the report
   */
  public ServingMessage.Losses createReport(long nowNs) {
    reportPending = false;
    completedAtNs.values().removeIf(atNs -> nowNs - atNs > RESEND_NS);
    return new ServingMessage.Losses(
        vm, reportedLosses(nowNs), List.copyOf(completedAtNs.keySet()), Optional.of(copies));
  }

  private List<Loss> reportedLosses(long nowNs) {
    return ownLosses.all(nowNs).stream()
        .filter(loss -> leaderKnowsParts || loss.part().isEmpty())
        .toList();
  }

  /**
   * Sets whether the leader knows losses under parts of prompts; an older one would take a part for
   * a request.
   *
   * @param known whether it does
   */
  public void setLeaderKnowsParts(boolean known) {
    leaderKnowsParts = known;
  }

  /**
   * Excuses the losses of an upstream that gave a sign of life after them.
   *
   * @param upstream the upstream
   * @param lostBeforeNs time before which its losses are excused, in nanoseconds
   */
  public void recordAlive(UpstreamIncarnation upstream, long lostBeforeNs) {
    ownLosses.alive(upstream, lostBeforeNs);
  }

  /**
   * Returns whether this VM knows of any suspect or quarantined request.
   *
   * @return false if every request may be sent, so that no lookup is needed
   */
  public boolean hasSuspects() {
    return !knownScopes.isEmpty() || !ownLosses.isEmpty();
  }

  private boolean isKnownScope(int scope) {
    return knownScopes.contains(scope) || ownLosses.hasScope(scope);
  }

  private void markChanged(long nowNs) {
    lastChangeNs = nowNs;
    reportPending = true;
  }
}
