package org.teaseltrail.core.entry;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import org.teaseltrail.core.id.Incarnation;
import org.teaseltrail.core.id.RequestId;
import org.teaseltrail.core.id.UpstreamId;
import org.teaseltrail.core.id.VmId;
import org.teaseltrail.core.message.ControlMessage;
import org.teaseltrail.core.quarantine.RepeatedLoss;
import org.teaseltrail.core.registry.UpstreamIncarnation;
import org.teaseltrail.core.request.Request;
import org.teaseltrail.core.serving.ServingMessage;
import org.teaseltrail.core.suspect.QuarantineTracker;

/**
 * Stops requests that crash each engine which runs them and come back under another id. The VM
 * reports with its hellos under which contents engines were lost, and gets the leader's decisions
 * with the replies; its own losses count as well.
 */
final class EntryQuarantine {

  private static final long NS_PER_MS = 1_000_000L;

  /** Retry-After while it is undecided whether a request is quarantined. */
  private static final long UNDECIDED_RETRY_AFTER_MS = 2_000;

  /**
   * Time after a loss from which an announcement shows that the upstream is alive: one that was
   * sent before has arrived by then.
   */
  private static final long ANNOUNCEMENT_DELAY_NS = 1_000 * NS_PER_MS;

  /** Loss that counts once this VM has reached any upstream again. */
  private record PendingLoss(CallContent content, UpstreamIncarnation upstream, long atNs) {}

  private final QuarantineTracker tracker;
  private final Map<RequestId, CallContent> contents = new HashMap<>();
  private final Map<RequestId, UpstreamIncarnation> lostUnder = new HashMap<>();
  private final List<PendingLoss> pending = new ArrayList<>();

  EntryQuarantine(VmId vm) {
    tracker = new QuarantineTracker(vm, nowNs -> false, RepeatedLoss.FURTHER_LOSS);
  }

  /** Records the content of an admitted request. */
  void recordAdmitted(RequestId request, CallContent content) {
    contents.put(request, content);
  }

  /** Returns the Retry-After of a request that must not be sent, or empty if it may be. */
  Optional<Long> retryAfterMs(CallContent content, long nowNs) {
    if (tracker.isUndecided(content)) {
      return Optional.of(UNDECIDED_RETRY_AFTER_MS);
    }
    boolean isHeld =
        tracker.isQuarantined(content, nowNs) && !tracker.useTrialPermit(content, nowNs);
    return isHeld ? Optional.of(QuarantineTracker.RETRY_AFTER_MS) : Optional.empty();
  }

  /** Returns the Retry-After of an admitted request that must not be sent, or empty. */
  Optional<Long> retryAfterMs(RequestId request, long nowNs) {
    return Optional.ofNullable(contents.get(request))
        .flatMap(content -> retryAfterMs(content, nowNs));
  }

  /** Records that a stream broke and could not be resumed at once. */
  void onUnreachable(Request request, long nowNs) {
    CallContent content = contents.get(request.id());
    if (content != null && !request.isAdopted() && !lostUnder.containsKey(request.id())) {
      UpstreamIncarnation upstream =
          incarnation(request.target().orElseThrow().upstream(), request.grantedIncarnation());
      lostUnder.put(request.id(), upstream);
      pending.add(new PendingLoss(content, upstream, nowNs));
    }
  }

  /**
   * Records that this VM has reached an upstream, so that losses before were the upstreams', and
   * not this VM's paths to them.
   */
  void onUpstreamReached(long nowNs) {
    for (PendingLoss loss : pending) {
      tracker.recordLoss(
          loss.content().fingerprint(),
          Optional.of(loss.content().customer()),
          loss.upstream(),
          loss.atNs(),
          nowNs);
    }
    pending.clear();
  }

  /** Records that an upstream announced itself. */
  void onAnnounced(UpstreamId upstream, Incarnation upstreamIncarnation, long nowNs) {
    excuse(incarnation(upstream, upstreamIncarnation), nowNs - ANNOUNCEMENT_DELAY_NS);
    onUpstreamReached(nowNs);
  }

  /** Records that a part of an answer arrived: the upstream has outlived a loss of the request. */
  void onFrame(Request request, long nowNs) {
    UpstreamIncarnation lost = lostUnder.remove(request.id());
    if (lost != null) {
      excuse(lost, nowNs);
    }
    onUpstreamReached(nowNs);
  }

  private void excuse(UpstreamIncarnation upstream, long lostBeforeNs) {
    pending.removeIf(loss -> loss.upstream().equals(upstream) && loss.atNs() < lostBeforeNs);
    tracker.recordAlive(upstream, lostBeforeNs);
  }

  void onCompleted(Request request, long nowNs) {
    CallContent content = contents.get(request.id());
    if (content != null) {
      tracker.recordCompleted(content, nowNs);
    }
  }

  void onEnded(RequestId request) {
    contents.remove(request);
    lostUnder.remove(request);
  }

  /** Returns what the next hello reports, or empty if this VM knows of no suspect. */
  Optional<ServingMessage.Losses> createReport(long nowNs) {
    return tracker.hasSuspects() ? Optional.of(tracker.createReport(nowNs)) : Optional.empty();
  }

  /** Applies what the leader has decided. */
  void welcomed(ControlMessage.Welcome welcome, long nowNs) {
    tracker.scheduleResend(false, nowNs);
    welcome.quarantine().ifPresent(update -> tracker.applyUpdate(update, nowNs));
    welcome.trial().ifPresent(trial -> tracker.addTrialPermit(trial, nowNs));
  }

  private static UpstreamIncarnation incarnation(UpstreamId upstream, Incarnation incarnation) {
    return new UpstreamIncarnation(upstream, incarnation.value());
  }
}
