package org.teaseltrail.core.quarantine;

/** How further losses of the same incarnation of an upstream count under one request. */
public enum RepeatedLoss {
  /** They are further breaks of connections to an upstream that still runs. */
  SAME_LOSS {
    @Override
    int countAfter(int before) {
      return 1;
    }
  },
  /** Each counts: the upstream may start again without a new incarnation number. */
  FURTHER_LOSS {
    @Override
    int countAfter(int before) {
      return before + 1;
    }
  };

  /**
   * Returns the number of losses after another one.
   *
   * @param before number of losses so far
   * @return the new number
   */
  abstract int countAfter(int before);
}
