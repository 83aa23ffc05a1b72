package org.teaseltrail.core.forward;

import java.util.OptionalInt;
import org.teaseltrail.core.registry.Registration;

/**
 * Is what this VM believes of one upstream: what it has there itself, what the others have, and how
 * its answers went.
 */
final class UpstreamView {

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

  private final Backpressure backpressure;
  private Registration registration;
  private int own;
  private int unread;
  private int elsewhere;
  private long elsewhereToldNs;
  private OptionalInt ownPart = OptionalInt.empty();
  private long placesToldNs;
  private double goodShare = 1;
  private int failuresInRow;
  private long avoidedUntilNs;
  private boolean avoided;
  private boolean misdirected;
  private double paceMs;
  private long pacedNs;
  private long answeredNs;

  UpstreamView(Registration registration, Backpressure backpressure) {
    this.registration = registration;
    this.backpressure = backpressure;
  }

  Registration registration() {
    return registration;
  }

  Backpressure backpressure() {
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
  void placesTold(int othersHave, int part, long nowNs) {
    elsewhere(othersHave, nowNs);
    ownPart = OptionalInt.of(part);
    placesToldNs = nowNs;
  }

  /**
   * Tells whether a request has room there.
   *
   * @param fill requests, in relation to places, beyond which it has none
   * @param nowNs time
   */
  boolean hasRoom(double fill, long nowNs) {
    boolean alone = ownPart.isEmpty() || nowNs - placesToldNs > ALONE_NS;
    boolean beyondOwnPart = alone && own >= fill * ownPart();
    return !beyondOwnPart && load(nowNs) < fill * Math.max(1, registration.slots());
  }

  /** Returns how many of its places this VM may fill if it hears from no leader. */
  int ownPart() {
    return ownPart.orElse(UNTOLD_PART);
  }

  int own() {
    return own;
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
    return own + elsewhere * Math.exp(-ageNs / FADING_NS);
  }

  void sent() {
    backpressure.sent();
    own++;
    unread++;
  }

  /** Takes in that a prompt was read, or that there is nothing more to read it for. */
  void read() {
    unread--;
  }

  /** Returns this VM's requests there that have no first event yet. */
  int unread() {
    return unread;
  }

  /** Takes an attempt's end in. */
  void ended(AttemptEnd end, long nowNs) {
    own--;
    if (end == AttemptEnd.WITHHELD) {
      return;
    }
    if (end == AttemptEnd.MISDIRECTED) {
      misdirected = true;
      return;
    }
    double before = goodShare(nowNs);
    goodShare = before + OUTCOME_WEIGHT * ((end.isFailure() ? 0 : 1) - before);
    goodShare = Math.max(LEAST_GOOD_SHARE, goodShare);
    answeredNs = nowNs;
    boolean silent = end == AttemptEnd.NOT_CONNECTED || end == AttemptEnd.BROKEN;
    if (!silent) {
      failuresInRow = 0;
      avoided = false;
      return;
    }
    avoid(nowNs);
  }

  /** Takes a timeout or another doubt in: nothing is sent there for a while. */
  void avoid(long nowNs) {
    long avoidanceMs =
        Math.min(LONGEST_AVOIDANCE_MS, FIRST_AVOIDANCE_MS << Math.min(failuresInRow, 4));
    failuresInRow++;
    avoided = true;
    avoidedUntilNs = nowNs + avoidanceMs * NS_PER_MS;
  }

  /** Takes the end of an attempt that the caller or this VM broke off. */
  void cancelled() {
    own--;
  }

  boolean isMisdirected() {
    return misdirected;
  }

  /** Returns whether requests go there now unless there is nothing better. */
  boolean isTrusted(long nowNs) {
    return !avoided || nowNs >= avoidedUntilNs;
  }

  /** Takes the time that a part of an answer took. */
  void pace(double elapsedMs, long nowNs) {
    paceMs = paceMs == 0 ? elapsedMs : paceMs + PACE_WEIGHT * (elapsedMs - paceMs);
    pacedNs = nowNs;
  }

  /** Returns how far the measured pace still counts, from 1 when it is new down to 0. */
  double paceWeight(long nowNs) {
    return Math.exp(-Math.max(0, nowNs - pacedNs) / FORGETTING_NS);
  }

  /** Returns the time that a part of an answer takes, in milliseconds; 0 if none is known. */
  double paceMs() {
    return paceMs;
  }

  /**
   * Returns the share of good outcomes among the newest ones.
   *
   * <p>Guards against an upstream that failed for a while and is given nothing ever after: it shows
   * as a healthy upstream without work while the others are full. Without new answers the belief
   * goes back to good by itself, and a request tries the upstream again.
   */
  double goodShare(long nowNs) {
    double weight = Math.exp(-Math.max(0, nowNs - answeredNs) / FORGETTING_NS);
    return 1 - (1 - goodShare) * weight;
  }
}
