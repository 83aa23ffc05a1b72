package org.teaseltrail.core.relay;

import java.util.HashSet;
import java.util.List;
import java.util.Optional;
import java.util.Set;
import org.teaseltrail.core.id.UpstreamId;

/** What a VM knows of its paths to the upstreams of one service. */
final class ServicePath {

  private static final long NS_PER_MS = 1_000_000L;

  /**
   * Time without a sign of life from any upstream, while requests are at them, after which their
   * paths are probed. Healthy upstreams may be silent for about a second.
   */
  private static final long MAX_SILENCE_NS = 1_000 * NS_PER_MS;

  /** Time without a sign of life after which open connections count as dead, too. */
  private static final long SILENT_NS = 700 * NS_PER_MS;

  /** Time for which an established connection shows that there is a path. */
  private static final long CONNECTION_PROOF_NS = 500 * NS_PER_MS;

  /**
   * Time after a round that passed in which a further break shows that connecting proves little.
   */
  private static final long REPEATED_BREAK_NS = 1_000 * NS_PER_MS;

  /**
   * Minimum time between the starts of two rounds of probes. A broken connection is followed by a
   * round at once, since it decides whom the break is held against.
   */
  private static final long ROUND_INTERVAL_NS = 250 * NS_PER_MS;

  /** Time after which the missing results of a round count as failed. */
  private static final long ROUND_TIMEOUT_NS = 2_000 * NS_PER_MS;

  private static final long NEVER = Long.MIN_VALUE / 2;

  private final Set<UpstreamId> pending = new HashSet<>();
  private final Set<UpstreamId> outstanding = new HashSet<>();
  private Optional<ProbeKind> suspicion = Optional.empty();
  private ProbeKind roundKind = ProbeKind.CONNECT;
  private boolean lost;
  private boolean needsAnswer;
  private boolean heard;
  private boolean heardSincePass = true;
  private long lastHeardNs = NEVER;
  private long lastConnectedNs = NEVER;
  private long firstDispatchNs = NEVER;
  private long roundStartedNs = NEVER;
  private long lastPassNs = NEVER;
  private long lastBreakNs = NEVER;

  boolean isLost() {
    return lost;
  }

  boolean isSilent(long nowNs) {
    return !heard && nowNs - lastHeardNs >= SILENT_NS;
  }

  void recordHeard() {
    heard = true;
    heardSincePass = true;
  }

  void recordConnected(long nowNs) {
    lastConnectedNs = nowNs;
  }

  /** Records a dispatch; the time matters only if no other request is at the upstreams. */
  void recordDispatch(boolean isFirst, long nowNs) {
    if (isFirst) {
      firstDispatchNs = nowNs;
    }
  }

  /** Records that a connection could not be established. */
  void recordConnectionFailure(long nowNs) {
    boolean isProved = nowNs - lastConnectedNs < CONNECTION_PROOF_NS;
    if (!isProved && suspicion.isEmpty()) {
      suspicion = Optional.of(ProbeKind.CONNECT);
    }
  }

  /**
   * Records that an established connection ended without an orderly close. Such a break is always
   * followed by a round: something between may accept connections and reset them, so that others
   * that were established prove nothing.
   *
   * @param canAsk whether upstreams of the service can be sent a health check
   */
  void recordConnectionBroken(boolean canAsk, long nowNs) {
    lastBreakNs = nowNs;
    boolean isRepeated = nowNs - lastPassNs < REPEATED_BREAK_NS && !heardSincePass;
    if (isRepeated && canAsk) {
      suspicion = Optional.of(ProbeKind.ANSWER);
    } else if (suspicion.isEmpty()) {
      suspicion = Optional.of(ProbeKind.CONNECT);
    }
  }

  /** Records that this VM has lost the paths to another service. */
  void recordLossElsewhere() {
    if (suspicion.isEmpty()) {
      suspicion = Optional.of(ProbeKind.CONNECT);
    }
  }

  /**
   * Updates the time of the last sign of life, and raises a suspicion if it is long ago.
   *
   * @param isWaiting whether requests are at the upstreams
   * @param canAsk whether upstreams of the service can be sent a health check
   */
  void checkSilence(boolean isWaiting, boolean canAsk, long nowNs) {
    if (heard) {
      heard = false;
      lastHeardNs = nowNs;
    }
    boolean silent = nowNs - Math.max(lastHeardNs, firstDispatchNs) >= MAX_SILENCE_NS;
    if (isWaiting && silent && canAsk && !lost) {
      suspicion = Optional.of(ProbeKind.ANSWER);
    }
  }

  /** Returns the kind of the probes that are due, if any. */
  Optional<ProbeKind> dueProbes(long nowNs) {
    boolean inRound = !pending.isEmpty() && nowNs - roundStartedNs < ROUND_TIMEOUT_NS;
    boolean isAfterBreak = !lost && lastBreakNs > roundStartedNs;
    if (inRound || (!isAfterBreak && nowNs - roundStartedNs < ROUND_INTERVAL_NS)) {
      return Optional.empty();
    }
    if (lost) {
      return Optional.of(needsAnswer ? ProbeKind.ANSWER : ProbeKind.CONNECT);
    }
    return suspicion;
  }

  boolean isInRound() {
    return !pending.isEmpty();
  }

  /** Returns when the newest round of probes started. */
  long roundStartedNs() {
    return roundStartedNs;
  }

  void startRound(ProbeKind kind, List<UpstreamId> probed, long nowNs) {
    roundKind = kind;
    roundStartedNs = nowNs;
    pending.clear();
    pending.addAll(probed);
    outstanding.addAll(probed);
  }

  /** Returns the upstreams whose results of earlier rounds may still arrive. */
  Set<UpstreamId> outstanding() {
    return outstanding;
  }

  /** Records the result of a probe; returns whether it changes whether the paths are lost. */
  boolean recordResult(UpstreamId upstream, ProbeResult result, long nowNs) {
    outstanding.remove(upstream);
    if (!pending.remove(upstream)) {
      return false;
    }
    if (roundKind.isPassedBy(result)) {
      return endRound(false, nowNs);
    }
    needsAnswer |= result == ProbeResult.CONNECTED;
    return pending.isEmpty() && endRound(true, nowNs);
  }

  /** Ends a round whose results are missing for too long; returns whether that changes anything. */
  boolean expireRound(long nowNs) {
    boolean expired = !pending.isEmpty() && nowNs - roundStartedNs >= ROUND_TIMEOUT_NS;
    if (nowNs - roundStartedNs >= ROUND_TIMEOUT_NS) {
      outstanding.clear();
    }
    return expired && endRound(true, nowNs);
  }

  private boolean endRound(boolean isLostNow, long nowNs) {
    pending.clear();
    boolean isBrokenSince = !isLostNow && lastBreakNs > roundStartedNs;
    suspicion = isBrokenSince ? Optional.of(ProbeKind.CONNECT) : Optional.empty();
    boolean changed = lost != isLostNow;
    lost = isLostNow;
    if (!isLostNow) {
      needsAnswer = false;
      lastHeardNs = nowNs;
      lastConnectedNs = nowNs;
      lastPassNs = nowNs;
      heardSincePass = false;
    }
    return changed;
  }
}
