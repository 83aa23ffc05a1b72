package org.teaseltrail.core.replication;

import java.util.Optional;
import org.teaseltrail.core.id.MemberId;

/**
 * Is what a member must never forget of elections.
 *
 * @param term its term
 * @param votedFor whom it has voted for in this term
 */
public record Vote(long term, Optional<MemberId> votedFor) {

  /**
   * Returns the vote of a member that has seen no election.
   *
   * @return term 0, nobody
   */
  public static Vote none() {
    return new Vote(0, Optional.empty());
  }
}
