package org.teaseltrail.core.schedule.fleet;

/** Says how an upstream's speed compares with its pool's, and what it gets for that. */
public enum SpeedState {
  /** As fast as others; gets all that fits. */
  ORDINARY {
    @Override
    public int slots(int maxBatch) {
      return maxBatch;
    }
  },
  /** Well slower than the median; gets half of what fits. */
  SLOW {
    @Override
    public int slots(int maxBatch) {
      return Math.max(1, maxBatch / 2);
    }
  },
  /** Far slower than the median, or silent; gets one request at a time, to see whether it mends. */
  PROBED {
    @Override
    public int slots(int maxBatch) {
      return 1;
    }
  };

  /** Returns how many requests it may run at once, of those that its batch has room for. */
  public abstract int slots(int maxBatch);
}
