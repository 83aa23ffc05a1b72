package org.teaseltrail.core.rollout;

import java.util.ArrayDeque;
import java.util.Deque;
import java.util.List;

/**
 * Buffers the observations of an entry VM in a rollout until the leader has received them, and
 * retains the latest ones for a new leader, which starts without any.
 */
public final class ObservationBuffer {

  /** Number of observations retained for the next leader. */
  private static final int RETAINED = 64;

  /** Maximum number of observations that wait for a leader; older ones are dropped. */
  private static final int CAPACITY = 512;

  private final Deque<Observation> buffer = new ArrayDeque<>();
  private long firstNumber;

  /**
   * Adds an observation.
   *
   * @param observation the observation
   */
  public void add(Observation observation) {
    buffer.addLast(observation);
    trimTo(CAPACITY);
  }

  /**
   * Records that the leader has received all observations before a number.
   *
   * @param number the number
   */
  public void heard(long number) {
    long unacknowledged = firstNumber + buffer.size() - number;
    trimTo((int) Math.max(RETAINED, unacknowledged));
  }

  /**
   * Returns the observations that the leader has not received.
   *
   * @param number number of the first of them; lower than all numbers for a new leader
   * @return the observations, oldest first
   */
  public List<Observation> from(long number) {
    return buffer.stream().skip(Math.max(0, number - firstNumber)).toList();
  }

  /**
   * Returns the number of the first observation that {@link #from} returns.
   *
   * @param number number of the first observation that the leader has not received
   * @return that number, or the number of the oldest observation in the buffer if that is higher
   */
  public long firstAvailableFrom(long number) {
    return Math.max(number, firstNumber);
  }

  private void trimTo(int maxSize) {
    while (buffer.size() > maxSize) {
      buffer.removeFirst();
      firstNumber++;
    }
  }
}
