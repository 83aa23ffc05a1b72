package org.teaseltrail.core.registry;

import org.teaseltrail.core.id.UpstreamId;

/**
 * Identifies one incarnation of an upstream. A later incarnation has none of the state, and runs
 * none of the requests, of earlier ones.
 *
 * @param id the upstream
 * @param bornMs its start time in Unix milliseconds by its own clock, 0 if not reported
 */
public record UpstreamIncarnation(UpstreamId id, long bornMs) {

  @Override
  public boolean equals(Object other) {
    return other instanceof UpstreamIncarnation that && bornMs == that.bornMs && id.equals(that.id);
  }

  @Override
  public int hashCode() {
    return 31 * id.hashCode() + Long.hashCode(bornMs);
  }
}
