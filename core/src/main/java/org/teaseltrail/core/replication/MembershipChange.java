package org.teaseltrail.core.replication;

import org.teaseltrail.core.id.MemberId;

/**
 * Single-step membership change. Any quorum before a step and any quorum after it have a voter in
 * common.
 */
public sealed interface MembershipChange {

  /**
   * Adds a new member that replicates the log without a vote.
   *
   * @param member the new member
   */
  record AddLearner(Member member) implements MembershipChange {}

  /**
   * Promotes a learner to voter once it has synced all committed entries.
   *
   * @param id the learner
   */
  record PromoteLearner(MemberId id) implements MembershipChange {}

  /**
   * Removes a member from the group.
   *
   * @param id the voter or learner
   */
  record RemoveMember(MemberId id) implements MembershipChange {}
}
