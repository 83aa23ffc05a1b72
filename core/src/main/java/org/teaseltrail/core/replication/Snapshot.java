package org.teaseltrail.core.replication;

import java.util.Arrays;

/**
 * Snapshot that replaces all log entries up to an index.
 *
 * @param index index of the last entry covered
 * @param term term of that entry
 * @param membership member set at that entry
 * @param state encoded replicated state, opaque to the log; must not be changed afterwards
 */
public record Snapshot(long index, long term, Membership membership, byte[] state) {

  @Override
  public boolean equals(Object other) {
    return other instanceof Snapshot that
        && index == that.index
        && term == that.term
        && membership.equals(that.membership)
        && Arrays.equals(state, that.state);
  }

  @Override
  public int hashCode() {
    return Long.hashCode(index) * 31 + Arrays.hashCode(state);
  }

  @Override
  public String toString() {
    return "Snapshot[index=" + index + ", term=" + term + ", " + state.length + " bytes]";
  }
}
