package org.teaseltrail.core.replication;

/** Says why a proposal was not appended; it will never be applied. */
public enum ProposalRejection {
  /** This member doesn't lead. */
  NOT_LEADER,
  /** This member leads but hasn't committed an entry of its term yet. */
  LEADER_NOT_READY,
  /** This member is handing its leadership over. */
  HANDING_OVER,
  /** More is waiting for a quorum's syncs than the settings allow. */
  TOO_MUCH_UNCOMMITTED,
  /** The member change before isn't committed yet. */
  MEMBERSHIP_CHANGE_PENDING,
  /** The member belongs to the group already. */
  ALREADY_MEMBER,
  /** The member doesn't belong to the group, or isn't a learner where one is needed. */
  UNKNOWN_MEMBER,
  /** The learner didn't hold all that was committed a short time ago, synced. */
  LEARNER_NOT_CAUGHT_UP,
  /** A group needs a voter. */
  LAST_VOTER,
  /** There is no other voter, or not the one named, to hand leadership to. */
  NO_SUCCESSOR
}
