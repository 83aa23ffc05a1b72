package org.teaseltrail.core.relay;

/** How the path to an upstream is probed. */
public enum ProbeKind {
  /** A connection is established. Costs the upstream no slot. */
  CONNECT(4) {
    @Override
    boolean isPassedBy(ProbeResult result) {
      return result != ProbeResult.FAILED;
    }
  },
  /**
   * A health check is sent as well, since something between may accept connections although nothing
   * reaches the upstream. The check may occupy a slot, so fewer upstreams are probed.
   */
  ANSWER(2) {
    @Override
    boolean isPassedBy(ProbeResult result) {
      return result == ProbeResult.ANSWERED;
    }
  };

  private final int maxUpstreams;

  ProbeKind(int maxUpstreams) {
    this.maxUpstreams = maxUpstreams;
  }

  /** Returns the maximum number of upstreams that are probed at once. */
  int maxUpstreams() {
    return maxUpstreams;
  }

  /** Returns whether a result shows that there is a path. */
  abstract boolean isPassedBy(ProbeResult result);
}
