package org.teaseltrail.core.schedule.fleet;

/** How an upstream's speed compares with its pool's, which determines how many slots it has. */
public enum SpeedState {
  /** As fast as others; its whole batch may be used. */
  ORDINARY {
    @Override
    public int slots(int maxBatch) {
      return maxBatch;
    }
  },
  /** Clearly slower than the median; half of its batch may be used. */
  SLOW {
    @Override
    public int slots(int maxBatch) {
      return Math.max(1, maxBatch / 2);
    }
  },
  /**
   * Far slower than the median, or not responding; it receives one request at a time, as a probe
   * for recovery.
   */
  PROBED {
    @Override
    public int slots(int maxBatch) {
      return 1;
    }
  };

  /** Returns how many requests an upstream with this maximum batch size may run at once. */
  public abstract int slots(int maxBatch);
}
