package org.teaseltrail.core.rollout;

import java.util.ArrayDeque;
import java.util.Deque;
import java.util.List;

/**
 * Keeps, at an entry VM, what it has seen in a rollout until the leader has heard of it, and the
 * newest of it for a leader that begins anew.
 */
public final class ObservationBuffer {

  /** Observations kept for the next leader. */
  private static final int KEPT = 64;

  /** Observations that wait for a leader at most; older ones are given up. */
  private static final int MOST = 512;

  private final Deque<Observation> kept = new ArrayDeque<>();
  private long firstNumber;

  /**
   * Adds an observation.
   *
   * @param observation the observation
   */
  public void add(Observation observation) {
    kept.addLast(observation);
    forgetBeyond(MOST);
  }

  /**
   * Notes that the leader has heard of those before a number.
   *
   * @param number the number
   */
  public void heard(long number) {
    long unheard = firstNumber + kept.size() - number;
    forgetBeyond((int) Math.max(KEPT, unheard));
  }

  /**
   * Returns what a leader hasn't heard.
   *
   * @param number number of the first that it hasn't; lower than all if it has heard nothing
   * @return the observations, oldest first
   */
  public List<Observation> from(long number) {
    return kept.stream().skip(Math.max(0, number - firstNumber)).toList();
  }

  /**
   * Returns the number of the first that {@link #from} returns.
   *
   * @param number number of the first that the leader hasn't heard
   * @return that number, or that of the oldest kept
   */
  public long firstAvailableFrom(long number) {
    return Math.max(number, firstNumber);
  }

  private void forgetBeyond(int most) {
    while (kept.size() > most) {
      kept.removeFirst();
      firstNumber++;
    }
  }
}
