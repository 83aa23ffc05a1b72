package org.teaseltrail.core.forward;

import java.util.OptionalDouble;

/** Rates the upstreams to which one request may go. */
interface UpstreamScorer {

  /**
   * Returns the score of an upstream with capacity.
   *
   * @param upstream the upstream
   * @param isPreferred whether it is likely to have the prompt's prefix cached
   * @return the score, the lowest being best; empty if the request must not go there now
   */
  OptionalDouble score(UpstreamState upstream, boolean isPreferred);
}
