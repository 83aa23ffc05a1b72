package org.teaseltrail.core.control;

import java.util.ArrayDeque;
import java.util.Deque;
import java.util.HashMap;
import java.util.Map;

/**
 * Measures, over a sliding window, the grants for a service by class and the rate at which its
 * slots become free.
 *
 * <p>The rate of grants alone isn't the capacity: it follows the demand while slots are free, and
 * exceeds the capacity while requests fill slots that were free. The meter therefore derives the
 * mean time for which a request occupies a slot.
 */
final class SlotFlowMeter {

  /** Long against the time between two grants, short against the demand's waves of seconds. */
  static final long WINDOW_NS = 1_000_000_000L;

  /** Slots that must have become free before the meter tells a rate. */
  private static final int MIN_RELEASES = 20;

  private static final double NS_PER_S = 1e9;

  private record Sample(
      long atNs, int inFlight, int busySlots, long grantCount, Map<WaitingClass, Integer> since) {}

  private final Deque<Sample> samples = new ArrayDeque<>();
  private final Map<WaitingClass, Integer> inWindow = new HashMap<>();
  private Map<WaitingClass, Integer> sinceLastSample = new HashMap<>();
  private long grantCount;

  /** Counts a granted slot. */
  void granted(WaitingClass requests) {
    grantCount++;
    sinceLastSample.merge(requests, 1, Integer::sum);
    inWindow.merge(requests, 1, Integer::sum);
  }

  /**
   * Takes a sample at a regular interval.
   *
   * @param inFlight requests at the upstreams, or granted; may exceed the slots
   * @param busySlots slots that they occupy
   * @param nowNs time
   */
  void sample(int inFlight, int busySlots, long nowNs) {
    samples.addLast(new Sample(nowNs, inFlight, busySlots, grantCount, sinceLastSample));
    sinceLastSample = new HashMap<>();
    while (nowNs - samples.peekFirst().atNs() > WINDOW_NS) {
      samples.removeFirst();
      forget(samples.peekFirst().since());
    }
  }

  /** Removes the grants before the sample that has become the first one. */
  private void forget(Map<WaitingClass, Integer> grants) {
    grants.forEach(
        (requests, count) ->
            inWindow.computeIfPresent(
                requests, (key, total) -> total > count ? total - count : null));
  }

  /** Returns the time of the last sample, {@link Long#MIN_VALUE} before the first one. */
  long sampledNs() {
    return samples.isEmpty() ? Long.MIN_VALUE : samples.peekLast().atNs();
  }

  /** Returns whether enough slots have become free to tell a rate. */
  boolean isMeasured() {
    return samples.size() > 1 && released() >= MIN_RELEASES;
  }

  /** Returns the requests per second that slots serve while all of them are in use. */
  double capacityPerSecond(int slots) {
    double meanBusy = samples.stream().mapToInt(Sample::busySlots).average().orElse(0);
    return meanBusy <= 0 ? 0 : slots * (released() / elapsedS()) / meanBusy;
  }

  /** Returns the classes that were granted slots within the window, with their rates per second. */
  Map<WaitingClass, Double> grantsPerSecond() {
    Map<WaitingClass, Double> rates = new HashMap<>();
    inWindow.forEach((requests, count) -> rates.put(requests, count / elapsedS()));
    return rates;
  }

  private long released() {
    Sample first = samples.peekFirst();
    Sample last = samples.peekLast();
    return last.grantCount() - first.grantCount() - (last.inFlight() - first.inFlight());
  }

  private double elapsedS() {
    return (samples.peekLast().atNs() - samples.peekFirst().atNs()) / NS_PER_S;
  }
}
