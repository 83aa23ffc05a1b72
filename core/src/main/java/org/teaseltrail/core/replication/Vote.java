package org.teaseltrail.core.replication;

import java.util.Optional;
import org.teaseltrail.core.id.MemberId;

/**
 * Persistent election state of a member.
 *
 * @param term the member's current term
 * @param votedFor the candidate that received its vote in this term, if any
 */
public record Vote(long term, Optional<MemberId> votedFor) {

  /**
   * Returns the initial state of a member that has taken part in no election.
   *
   * @return term 0 without a vote
   */
  public static Vote none() {
    return new Vote(0, Optional.empty());
  }
}
