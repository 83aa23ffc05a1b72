package org.teaseltrail.core.forward;

import java.util.ArrayDeque;
import java.util.Deque;
import java.util.OptionalInt;
import org.teaseltrail.core.registry.Registration;

/**
 * The state of one upstream as this VM sees it: its own requests there, those of other VMs, and the
 * health and speed that responses showed.
 */
final class UpstreamState {

  private static final long NS_PER_MS = 1_000_000L;

  /** Age up to which the counts of other VMs' requests are used unchanged: two syncs. */
  private static final long FRESH_COUNT_NS = 500 * NS_PER_MS;

  /**
   * Time without a report of the leader after which this VM keeps to its own share of the slots:
   * one sync without an answer, and as long again for a slow one.
   */
  private static final long LEADER_TIMEOUT_NS = 400 * NS_PER_MS;

  /**
   * This VM's share of an upstream's slots before the first report of a leader: all VMs may have
   * been started together, and each has requests that were waiting for it.
   */
  private static final int INITIAL_SHARE = 1;

  /** Time in which an older count decays to a third: about the duration of a medium response. */
  private static final double COUNT_DECAY_NS = 700 * NS_PER_MS;

  /** Duration of the first ejection after a failure, in milliseconds: several round trips. */
  private static final long MIN_EJECTION_MS = 250;

  /**
   * Maximum duration of an ejection, in milliseconds; a crashed upstream is back after 3 to 6 s.
   */
  private static final long MAX_EJECTION_MS = 3_000;

  /** Time after which a probe without a result is repeated. */
  private static final long PROBE_TIMEOUT_NS = 2_000 * NS_PER_MS;

  /** Time for which a slot counts as used after a rejection: a few short responses. */
  private static final long REJECTED_SLOT_NS = 1_000 * NS_PER_MS;

  /** Weight of the newest outcome in the success rate: about ten outcomes dominate it. */
  private static final double OUTCOME_WEIGHT = 0.1;

  /** Weight of the newest sample in the event latency: about five responses dominate it. */
  private static final double LATENCY_WEIGHT = 0.2;

  /** Minimum success rate; an upstream at this rate is used only when the others are full. */
  private static final double MIN_SUCCESS_RATE = 0.2;

  /**
   * Time in which the observations from an upstream's responses lose two thirds of their weight.
   */
  private static final double OBSERVATION_DECAY_NS = 3_000 * NS_PER_MS;

  private final BackpressureState backpressure;
  private Registration registration;
  private final Deque<Long> rejectedSlotExpiriesNs = new ArrayDeque<>();
  private int ownInFlight;
  private int unread;
  private int elsewhere;
  private long elsewhereUpdatedNs;
  private OptionalInt ownShare = OptionalInt.empty();
  private long slotsUpdatedNs;
  private double successRate = 1;
  private int consecutiveFailures;
  private long ejectedUntilNs;
  private boolean avoided;
  private boolean awaitsProbe;
  private long probedUntilNs;
  private boolean misdirected;
  private double eventLatencyMs;
  private long latencyUpdatedNs;
  private long lastOutcomeNs;

  UpstreamState(Registration registration, BackpressureState backpressure) {
    this.registration = registration;
    this.backpressure = backpressure;
  }

  Registration registration() {
    return registration;
  }

  BackpressureState backpressure() {
    return backpressure;
  }

  void update(Registration newer) {
    registration = newer;
  }

  void elsewhere(int count, long nowNs) {
    elsewhere = count;
    elsewhereUpdatedNs = nowNs;
  }

  /**
   * Applies the leader's report: the requests of other VMs there, and this VM's share of the slots.
   */
  void updateSlots(int usedElsewhere, int part, long nowNs) {
    elsewhere(usedElsewhere, nowNs);
    ownShare = OptionalInt.of(part);
    slotsUpdatedNs = nowNs;
  }

  /**
   * Returns whether the upstream has capacity for a request.
   *
   * @param maxUtilization utilization of the slots from which on it has none
   * @param nowNs current time, in nanoseconds
   */
  boolean hasCapacity(double maxUtilization, long nowNs) {
    boolean withoutLeader = ownShare.isEmpty() || nowNs - slotsUpdatedNs > LEADER_TIMEOUT_NS;
    boolean ownShareUsed = withoutLeader && ownInFlight >= maxUtilization * ownShare();
    return !ownShareUsed && load(nowNs) < maxUtilization * Math.max(1, registration.slots());
  }

  /** Returns whether the leader has told this VM its part of the slots. */
  boolean isDealt() {
    return ownShare.isPresent();
  }

  /**
   * Returns the number of slots that were dealt to this VM.
   *
   * @param isServiceDealt whether slots of any upstream of the service were; then this VM has none
   *     at an upstream of which the leader has told it nothing, since all VMs see it empty
   */
  int dealtSlots(boolean isServiceDealt) {
    return ownShare.orElse(isServiceDealt ? 0 : INITIAL_SHARE);
  }

  /** Returns the number of slots that this VM may use without a leader. */
  int ownShare() {
    return ownShare.orElse(INITIAL_SHARE);
  }

  /** Returns the number of this VM's own slots that it doesn't use, 0 before it was told any. */
  int freeOwnSlots() {
    return ownShare.orElse(0) - ownInFlight;
  }

  int ownInFlight() {
    return ownInFlight;
  }

  /**
   * Returns the number of requests that all VMs have there, as far as this VM knows.
   *
   * <p>The count of other VMs' requests decays once it is older than two syncs, because nobody
   * corrects it while there is no leader: an upstream that was full then would count as full until
   * the next leader, although its requests have long ended.
   */
  double load(long nowNs) {
    double ageNs = Math.max(0, nowNs - elsewhereUpdatedNs - FRESH_COUNT_NS);
    return ownInFlight + elsewhere * StrictMath.exp(-ageNs / COUNT_DECAY_NS);
  }

  void recordSent() {
    backpressure.recordSent();
    ownInFlight++;
    unread++;
  }

  /** Records that a prompt has been processed, or no longer needs to be. */
  void recordPromptRead() {
    unread--;
  }

  /** Returns the number of this VM's requests there that have no first event yet. */
  int unread() {
    return unread;
  }

  /**
   * Records that the upstream rejected a request although it seemed to have a free slot. The slot
   * counts as used for a while, here and at the leader: there is less room than is known, and the
   * next request would be rejected, too.
   */
  void recordRejection(long nowNs) {
    rejectedSlotExpiriesNs.addLast(nowNs + REJECTED_SLOT_NS);
    ownInFlight++;
  }

  /** Frees the slots that counted as used after a rejection for long enough. */
  void releaseRejectedSlots(long nowNs) {
    while (!rejectedSlotExpiriesNs.isEmpty() && nowNs >= rejectedSlotExpiriesNs.peekFirst()) {
      rejectedSlotExpiriesNs.removeFirst();
      ownInFlight--;
    }
  }

  /** Records the outcome of an attempt. */
  void recordOutcome(AttemptOutcome end, long nowNs) {
    ownInFlight--;
    if (end == AttemptOutcome.WITHHELD) {
      return;
    }
    if (end == AttemptOutcome.MISDIRECTED) {
      misdirected = true;
      return;
    }
    double before = successRate(nowNs);
    successRate = before + OUTCOME_WEIGHT * ((end.isFailure() ? 0 : 1) - before);
    successRate = Math.max(MIN_SUCCESS_RATE, successRate);
    lastOutcomeNs = nowNs;
    if (end.isConnectionFailure()) {
      eject(nowNs);
      return;
    }
    consecutiveFailures = 0;
    avoided = false;
    awaitsProbe = false;
  }

  /** Keeps the upstream ejected until a probe has passed. */
  void awaitProbe() {
    awaitsProbe = true;
    probedUntilNs = 0;
  }

  /** Returns whether a probe is to be sent now, which then counts as sent. */
  boolean pollProbe(long nowNs) {
    boolean isDue = awaitsProbe && nowNs >= ejectedUntilNs && nowNs >= probedUntilNs;
    if (isDue) {
      probedUntilNs = nowNs + PROBE_TIMEOUT_NS;
    }
    return isDue;
  }

  /** Records the result of a probe; one that fails extends an ejection that is over. */
  void recordProbe(boolean hasPassed, long nowNs) {
    if (hasPassed) {
      awaitsProbe = false;
    } else if (awaitsProbe && nowNs >= ejectedUntilNs) {
      eject(nowNs);
      probedUntilNs = 0;
    }
  }

  /**
   * Ejects the upstream for a limited time after a timeout or another sign of failure: nothing is
   * sent there.
   */
  void eject(long nowNs) {
    long ejectionMs =
        Math.min(MAX_EJECTION_MS, MIN_EJECTION_MS << Math.min(consecutiveFailures, 4));
    consecutiveFailures++;
    avoided = true;
    ejectedUntilNs = nowNs + ejectionMs * NS_PER_MS;
  }

  /** Forgets failures, once they have proved to be no fault of the upstream. */
  void forgetFailures() {
    successRate = 1;
    consecutiveFailures = 0;
    avoided = false;
    awaitsProbe = false;
  }

  /** Records the end of an attempt that was cancelled by the caller or this VM. */
  void cancelled() {
    ownInFlight--;
  }

  boolean isMisdirected() {
    return misdirected;
  }

  /**
   * Returns whether the upstream isn't ejected; an ejected one is used only if there is no other.
   */
  boolean isEligible(long nowNs) {
    return !avoided || (nowNs >= ejectedUntilNs && !awaitsProbe);
  }

  /** Records the time that a part of a response took. */
  void recordEventLatency(double elapsedMs, long nowNs) {
    eventLatencyMs =
        eventLatencyMs == 0
            ? elapsedMs
            : eventLatencyMs + LATENCY_WEIGHT * (elapsedMs - eventLatencyMs);
    latencyUpdatedNs = nowNs;
  }

  /** Returns the weight of the measured event latency, from 1 when it is new down to 0. */
  double eventLatencyWeight(long nowNs) {
    return StrictMath.exp(-Math.max(0, nowNs - latencyUpdatedNs) / OBSERVATION_DECAY_NS);
  }

  /** Returns the time that a part of a response takes, in milliseconds; 0 if unknown. */
  double eventLatencyMs() {
    return eventLatencyMs;
  }

  /**
   * Returns the fraction of successful outcomes among the recent ones.
   *
   * <p>Without new responses the rate recovers to 1 over time, so that a request tries the upstream
   * again. Otherwise an upstream that failed for a while would never receive a request again, and
   * stay idle while the others are full.
   */
  double successRate(long nowNs) {
    double weight = StrictMath.exp(-Math.max(0, nowNs - lastOutcomeNs) / OBSERVATION_DECAY_NS);
    return 1 - (1 - successRate) * weight;
  }
}
