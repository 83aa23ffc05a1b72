package org.teaseltrail.core.rollout;

import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import org.teaseltrail.core.id.Incarnation;
import org.teaseltrail.core.id.VmId;

/**
 * Analyzes the target version of a rollout: compares the observations of all entry VMs with those
 * of the previous versions.
 */
public final class CanaryAnalyzer {

  private static final long NS_PER_MS = 1_000_000L;

  /** Time between two evaluations. */
  private static final long INTERVAL_NS = 500 * NS_PER_MS;

  private record Received(Incarnation incarnation, long next) {}

  private final Map<VmId, Received> heard = new HashMap<>();
  private final FailureMonitor failures;
  private final LatencyMonitor starts;
  private final LatencyMonitor streams;
  private long intervalEndNs;
  private int targetAnswers;
  private Optional<Verdict> verdict = Optional.empty();

  /**
   * Creates an analyzer without observations.
   *
   * @param nowNs monotonic time
   */
  public CanaryAnalyzer(long nowNs) {
    failures = new FailureMonitor();
    starts = new LatencyMonitor(Symptom.LATE_START);
    streams = new LatencyMonitor(Symptom.SLOW_STREAM);
    intervalEndNs = nowNs + INTERVAL_NS;
  }

  /**
   * Records the observations of a VM; those that were received before are ignored.
   *
   * @param vm the VM
   * @param incarnation the incarnation of its process
   * @param firstNumber number of the first observation
   * @param observations the observations
   * @return number of the first of the VM's observations that has not been received yet
   */
  public long recordReport(
      VmId vm, Incarnation incarnation, long firstNumber, List<Observation> observations) {
    Received before = heard.get(vm);
    boolean sameIncarnation = before != null && before.incarnation().equals(incarnation);
    long next = sameIncarnation ? before.next() : firstNumber;
    observations.stream().skip(Math.max(0, next - firstNumber)).forEach(this::dispatch);
    long after = Math.max(next, firstNumber + observations.size());
    heard.put(vm, new Received(incarnation, after));
    return after;
  }

  /**
   * Evaluates the observations if the evaluation interval has elapsed.
   *
   * @param nowNs monotonic time
   */
  public void tick(long nowNs) {
    if (nowNs < intervalEndNs || verdict.isPresent()) {
      return;
    }
    intervalEndNs = nowNs + INTERVAL_NS;
    Optional<Verdict> failing = failures.evaluate();
    Optional<Verdict> slowStart = starts.evaluate();
    Optional<Verdict> slowStream = streams.evaluate();
    verdict = failing.or(() -> slowStart).or(() -> slowStream);
  }

  /**
   * Returns the number of answers of the target version that were analyzed.
   *
   * @return the number
   */
  public int targetAnswerCount() {
    return targetAnswers;
  }

  /**
   * Returns whether the evidence is strong enough that not all traffic should be shifted yet.
   *
   * @return true if a fault is suspected
   */
  public boolean isSuspicious() {
    return failures.isSuspicious() || starts.isSuspicious() || streams.isSuspicious();
  }

  /**
   * Returns the verdict that the version is faulty.
   *
   * @return the verdict, or empty as long as no fault is found
   */
  public Optional<Verdict> verdict() {
    return verdict;
  }

  private void dispatch(Observation observation) {
    if (observation.symptom() == Symptom.FAILURE) {
      failures.observe(observation);
      targetAnswers += observation.ordered() ? 1 : 0;
    } else if (observation.symptom() == Symptom.LATE_START) {
      starts.observe(observation);
    } else {
      streams.observe(observation);
    }
  }
}
