package org.teaseltrail.core.quota;

import java.util.ArrayDeque;
import java.util.Deque;
import java.util.Iterator;

/**
 * Sum over a sliding window: each amount counts from the time at which it is added until it is
 * older than the window.
 */
public final class SlidingWindowSum {

  private record Entry(long atNs, double amount) {}

  private final long windowNs;
  private final Deque<Entry> entries = new ArrayDeque<>();
  private double sum;

  /**
   * Creates an empty sum.
   *
   * @param windowMs length of the window in milliseconds
   */
  public SlidingWindowSum(long windowMs) {
    windowNs = windowMs * 1_000_000L;
  }

  /**
   * Adds an amount.
   *
   * @param amount the amount; ignored unless it is positive
   * @param nowNs current time, not less than that of any earlier amount
   */
  public void add(double amount, long nowNs) {
    if (amount > 0) {
      entries.addLast(new Entry(nowNs, amount));
      sum += amount;
    }
  }

  /**
   * Removes an amount as if it had never been added. Has no effect if the amount has already left
   * the window.
   *
   * @param amount the amount
   * @param atNs the time at which it was added
   */
  public void remove(double amount, long atNs) {
    Iterator<Entry> newestFirst = entries.descendingIterator();
    while (newestFirst.hasNext()) {
      Entry entry = newestFirst.next();
      if (entry.atNs() == atNs && entry.amount() == amount) {
        newestFirst.remove();
        sum -= amount;
        return;
      }
    }
  }

  /**
   * Returns the sum of the amounts in the window that ends now.
   *
   * @param nowNs current time
   * @return the sum
   */
  public double total(long nowNs) {
    while (!entries.isEmpty() && nowNs - entries.peekFirst().atNs() > windowNs) {
      sum -= entries.removeFirst().amount();
    }
    if (entries.isEmpty()) {
      sum = 0;
    }
    return sum;
  }

  /**
   * Returns the number of amounts that are kept. Those that have left the window are kept until the
   * next call of {@link #total}.
   *
   * @return the number of amounts
   */
  public int size() {
    return entries.size();
  }

  /**
   * Returns the time until the newest amount leaves the window.
   *
   * @param nowNs current time
   * @return time in nanoseconds, 0 if there are no amounts
   */
  public long timeUntilEmptyNs(long nowNs) {
    return entries.isEmpty() ? 0 : Math.max(0, entries.peekLast().atNs() + windowNs - nowNs);
  }
}
