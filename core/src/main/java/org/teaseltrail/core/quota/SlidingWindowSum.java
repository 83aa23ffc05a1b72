package org.teaseltrail.core.quota;

import java.util.ArrayDeque;
import java.util.Deque;
import java.util.Iterator;

/** Adds up amounts, each for the length of a window from its time on. */
public final class SlidingWindowSum {

  private record Entry(long atNs, double amount) {}

  private final long windowNs;
  private final Deque<Entry> entries = new ArrayDeque<>();
  private double sum;

  /**
   * Creates an empty sum.
   *
   * @param windowMs how long an amount counts, in milliseconds
   */
  public SlidingWindowSum(long windowMs) {
    windowNs = windowMs * 1_000_000L;
  }

  /**
   * Adds an amount.
   *
   * @param amount the amount; nothing is noted unless it is positive
   * @param nowNs its time, never less than that of an amount before
   */
  public void add(double amount, long nowNs) {
    if (amount > 0) {
      entries.addLast(new Entry(nowNs, amount));
      sum += amount;
    }
  }

  /**
   * Takes an amount back, as if it had never been added. One that has left the window already
   * changes nothing.
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
   * Returns the amounts of the window that ends now.
   *
   * @param nowNs time
   * @return their sum
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
   * Returns how long the last of the amounts counts on.
   *
   * @param nowNs time
   * @return nanoseconds, 0 if there is none
   */
  public long timeUntilEmptyNs(long nowNs) {
    return entries.isEmpty() ? 0 : Math.max(0, entries.peekLast().atNs() + windowNs - nowNs);
  }
}
