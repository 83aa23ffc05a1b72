package org.teaseltrail.core.rollout;

import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import org.teaseltrail.core.id.Incarnation;
import org.teaseltrail.core.id.VmId;

/** Judges an ordered version by what all entry VMs saw, against the versions before. */
public final class CanaryAnalyzer {

  private static final long NS_PER_MS = 1_000_000L;

  /** Time after which what has come is weighed. */
  private static final long SLICE_NS = 500 * NS_PER_MS;

  private record Heard(Incarnation incarnation, long next) {}

  private final Map<VmId, Heard> heard = new HashMap<>();
  private final FailureMonitor failures;
  private final LatencyMonitor starts;
  private final LatencyMonitor streams;
  private long sliceEndNs;
  private int targetAnswerCount;
  private Optional<Verdict> verdict = Optional.empty();

  /**
   * Begins without evidence.
   *
   * @param nowNs time
   */
  public CanaryAnalyzer(long nowNs) {
    failures = new FailureMonitor();
    starts = new LatencyMonitor(Symptom.LATE_START);
    streams = new LatencyMonitor(Symptom.SLOW_STREAM);
    sliceEndNs = nowNs + SLICE_NS;
  }

  /**
   * Takes what a VM saw; what it tells again changes nothing.
   *
   * @param vm the VM
   * @param incarnation which life of its process
   * @param firstNumber number of the first observation
   * @param observations what it saw
   * @return number of the first of the VM's observations that wasn't heard yet
   */
  public long recordReport(
      VmId vm, Incarnation incarnation, long firstNumber, List<Observation> observations) {
    Heard before = heard.get(vm);
    boolean sameLife = before != null && before.incarnation().equals(incarnation);
    long next = sameLife ? before.next() : firstNumber;
    observations.stream().skip(Math.max(0, next - firstNumber)).forEach(this::take);
    long after = Math.max(next, firstNumber + observations.size());
    heard.put(vm, new Heard(incarnation, after));
    return after;
  }

  /**
   * Weighs what has come, if it is time.
   *
   * @param nowNs time
   */
  public void tick(long nowNs) {
    if (nowNs < sliceEndNs || verdict.isPresent()) {
      return;
    }
    sliceEndNs = nowNs + SLICE_NS;
    Optional<Verdict> failing = failures.evaluate();
    Optional<Verdict> startingLate = starts.evaluate();
    Optional<Verdict> running = streams.evaluate();
    verdict = failing.or(() -> startingLate).or(() -> running);
  }

  /**
   * Returns how many answers of the ordered version were looked at.
   *
   * @return the number
   */
  public int targetAnswerCount() {
    return targetAnswerCount;
  }

  /**
   * Tells whether so much speaks against the version that it shouldn't get all requests yet.
   *
   * @return true if it isn't found bad, and yet suspected
   */
  public boolean isSuspicious() {
    return failures.isSuspicious() || starts.isSuspicious() || streams.isSuspicious();
  }

  /**
   * Returns the finding that the version is bad.
   *
   * @return the finding, or empty as long as there is none
   */
  public Optional<Verdict> verdict() {
    return verdict;
  }

  private void take(Observation seen) {
    if (seen.symptom() == Symptom.FAILURE) {
      failures.observe(seen);
      targetAnswerCount += seen.ordered() ? 1 : 0;
    } else if (seen.symptom() == Symptom.LATE_START) {
      starts.observe(seen);
    } else {
      streams.observe(seen);
    }
  }
}
