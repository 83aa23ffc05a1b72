package org.teaseltrail.forward;

/** The shares of the heap that an entry VM gives to the bodies in its hands. */
public final class MemoryShares {

  private static final double REQUEST_BODIES = 0.375;

  /** For answers of more than some ten kilobytes. */
  private static final double ANSWERS = 0.25;

  private static final double SMALL_ANSWERS = 0.03125;

  private static final double GROWING_ANSWERS = 0.03125;

  /** For the heads of requests, with bodies of a few kilobytes. */
  private static final double REQUEST_HEADS = 0.1;

  private MemoryShares() {}

  /**
   * Returns the share for the bodies of requests.
   *
   * @return the share in bytes
   */
  public static long requestBodiesBytes() {
    return (long) (Runtime.getRuntime().maxMemory() * REQUEST_BODIES);
  }

  /**
   * Returns the share for the heads of requests.
   *
   * @return the share in bytes
   */
  public static long requestHeadsBytes() {
    return (long) (Runtime.getRuntime().maxMemory() * REQUEST_HEADS);
  }

  /**
   * Returns the share for answers that aren't small.
   *
   * @return the share in bytes
   */
  public static long answersBytes() {
    return (long) (Runtime.getRuntime().maxMemory() * ANSWERS);
  }

  /**
   * Returns the share for small answers that state their length.
   *
   * @return the share in bytes
   */
  public static long smallAnswersBytes() {
    return (long) (Runtime.getRuntime().maxMemory() * SMALL_ANSWERS);
  }

  /**
   * Returns the share for small answers without a length, and for events that aren't complete.
   *
   * @return the share in bytes
   */
  public static long growingAnswersBytes() {
    return (long) (Runtime.getRuntime().maxMemory() * GROWING_ANSWERS);
  }
}
