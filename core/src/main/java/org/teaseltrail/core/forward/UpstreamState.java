package org.teaseltrail.core.forward;

import java.util.OptionalInt;
import org.teaseltrail.core.registry.Registration;

/**
 * Is what this VM believes of one upstream: what it has there itself, what the others have, and how
 * its answers went.
 */
final class UpstreamState {

  private static final long NS_PER_MS = 1_000_000L;

  /** Age up to which the others' counts are taken as they are: two syncs. */
  private static final long FRESH_NS = 500 * NS_PER_MS;

  /**
   * Silence of the leader after which this VM keeps to its own part of the places: one sync that
   * did not come back, and as long again for a slow one.
   */
  private static final long ALONE_NS = 400 * NS_PER_MS;

  /**
   * This VM's part of an upstream's places before a leader has told: all VMs may have been started
   * together, and each has the requests that waited for it.
   */
  private static final int UNTOLD_PART = 1;

  /** Time in which an older count falls to a third: about that of a middling answer. */
  private static final double FADING_NS = 700 * NS_PER_MS;

  /** First time for which a failure keeps requests away; a few of the users' round trips. */
  private static final long FIRST_AVOIDANCE_MS = 250;

  /** Longest such time; a crashed upstream of the users is back after 3 to 6 s. */
  private static final long LONGEST_AVOIDANCE_MS = 3_000;

  /** Weight of the newest outcome in the share of good ones: some ten outcomes decide. */
  private static final double OUTCOME_WEIGHT = 0.1;

  /** Weight of the newest time in the pace: some five answers decide. */
  private static final double PACE_WEIGHT = 0.2;

  /**
   * Least share of good outcomes that is believed; so much worse an upstream is used only when the
   * others are full.
   */
  private static final double LEAST_GOOD_SHARE = 0.2;

  /** Time in which what an upstream's answers showed loses two thirds of its weight. */
  private static final double FORGETTING_NS = 3_000 * NS_PER_MS;

  private final BackpressureState backpressure;
  private Registration registration;
  private int ownInFlight;
  private int unread;
  private int elsewhere;
  private long elsewhereToldNs;
  private OptionalInt ownShare = OptionalInt.empty();
  private long placesToldNs;
  private double successRate = 1;
  private int failuresInRow;
  private long avoidedUntilNs;
  private boolean avoided;
  private boolean misdirected;
  private double eventLatencyMs;
  private long pacedNs;
  private long answeredNs;

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
    elsewhereToldNs = nowNs;
  }

  /** Takes what the leader tells: what the others have there, and this VM's part of the places. */
  void updateSlots(int othersHave, int part, long nowNs) {
    elsewhere(othersHave, nowNs);
    ownShare = OptionalInt.of(part);
    placesToldNs = nowNs;
  }

  /**
   * Tells whether a request has room there.
   *
   * @param fill requests, in relation to places, beyond which it has none
   * @param nowNs time
   */
  boolean hasCapacity(double fill, long nowNs) {
    boolean alone = ownShare.isEmpty() || nowNs - placesToldNs > ALONE_NS;
    boolean beyondOwnPart = alone && ownInFlight >= fill * ownShare();
    return !beyondOwnPart && load(nowNs) < fill * Math.max(1, registration.slots());
  }

  /** Returns how many of its places this VM may fill if it hears from no leader. */
  int ownShare() {
    return ownShare.orElse(UNTOLD_PART);
  }

  int ownInFlight() {
    return ownInFlight;
  }

  /**
   * Returns the requests that all VMs have there, as far as this one knows.
   *
   * <p>Guards against a count that nobody corrects while no member leads: an upstream that was full
   * then would count as full until the next leader, though its requests have long ended. What the
   * others had fades once it is older than a few syncs.
   */
  double load(long nowNs) {
    double ageNs = Math.max(0, nowNs - elsewhereToldNs - FRESH_NS);
    return ownInFlight + elsewhere * Math.exp(-ageNs / FADING_NS);
  }

  void recordSent() {
    backpressure.recordSent();
    ownInFlight++;
    unread++;
  }

  /** Takes in that a prompt was read, or that there is nothing more to read it for. */
  void recordPromptRead() {
    unread--;
  }

  /** Returns this VM's requests there that have no first event yet. */
  int unread() {
    return unread;
  }

  /** Takes an attempt's end in. */
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
    successRate = Math.max(LEAST_GOOD_SHARE, successRate);
    answeredNs = nowNs;
    boolean silent = end == AttemptOutcome.NOT_CONNECTED || end == AttemptOutcome.BROKEN;
    if (!silent) {
      failuresInRow = 0;
      avoided = false;
      return;
    }
    eject(nowNs);
  }

  /** Takes a timeout or another doubt in: nothing is sent there for a while. */
  void eject(long nowNs) {
    long avoidanceMs =
        Math.min(LONGEST_AVOIDANCE_MS, FIRST_AVOIDANCE_MS << Math.min(failuresInRow, 4));
    failuresInRow++;
    avoided = true;
    avoidedUntilNs = nowNs + avoidanceMs * NS_PER_MS;
  }

  /** Takes the end of an attempt that the caller or this VM broke off. */
  void cancelled() {
    ownInFlight--;
  }

  boolean isMisdirected() {
    return misdirected;
  }

  /** Returns whether requests go there now unless there is nothing better. */
  boolean isEligible(long nowNs) {
    return !avoided || nowNs >= avoidedUntilNs;
  }

  /** Takes the time that a part of an answer took. */
  void recordEventLatency(double elapsedMs, long nowNs) {
    eventLatencyMs =
        eventLatencyMs == 0
            ? elapsedMs
            : eventLatencyMs + PACE_WEIGHT * (elapsedMs - eventLatencyMs);
    pacedNs = nowNs;
  }

  /** Returns how far the measured pace still counts, from 1 when it is new down to 0. */
  double eventLatencyWeight(long nowNs) {
    return Math.exp(-Math.max(0, nowNs - pacedNs) / FORGETTING_NS);
  }

  /** Returns the time that a part of an answer takes, in milliseconds; 0 if none is known. */
  double eventLatencyMs() {
    return eventLatencyMs;
  }

  /**
   * Returns the share of good outcomes among the newest ones.
   *
   * <p>Guards against an upstream that failed for a while and is given nothing ever after: it shows
   * as a healthy upstream without work while the others are full. Without new answers the belief
   * goes back to good by itself, and a request tries the upstream again.
   */
  double successRate(long nowNs) {
    double weight = Math.exp(-Math.max(0, nowNs - answeredNs) / FORGETTING_NS);
    return 1 - (1 - successRate) * weight;
  }
}
