package org.teaseltrail.core.registry;

import org.teaseltrail.core.id.UpstreamId;

/**
 * Names one life of an upstream. A later one holds and knows nothing of those before.
 *
 * @param id the upstream
 * @param bornMs its start in Unix milliseconds by its own clock, 0 if it doesn't tell
 */
public record UpstreamIncarnation(UpstreamId id, long bornMs) {

  @Override
  public boolean equals(Object other) {
    return other instanceof UpstreamIncarnation life && bornMs == life.bornMs && id.equals(life.id);
  }

  @Override
  public int hashCode() {
    return 31 * id.hashCode() + Long.hashCode(bornMs);
  }
}
