package org.teaseltrail.core.replication;

import org.teaseltrail.core.id.MemberId;

/**
 * Is one step of a member change. Steps follow one another, so that any quorum before a step and
 * any quorum after it share a voter.
 */
public sealed interface MembershipChange {

  /**
   * Let a new member follow the log without a vote.
   *
   * @param member the new member
   */
  record AddLearner(Member member) implements MembershipChange {}

  /**
   * Give a learner that holds all that is committed, synced, a vote.
   *
   * @param id the learner
   */
  record PromoteLearner(MemberId id) implements MembershipChange {}

  /**
   * Take a member out of the group.
   *
   * @param id the voter or learner
   */
  record RemoveMember(MemberId id) implements MembershipChange {}
}
