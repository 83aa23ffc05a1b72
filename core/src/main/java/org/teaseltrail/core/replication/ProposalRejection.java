package org.teaseltrail.core.replication;

/** Reason why a proposal wasn't appended to the log. A rejected proposal is never applied. */
public enum ProposalRejection {
  /** This member isn't the leader. */
  NOT_LEADER,
  /** This member is the leader but hasn't committed an entry of its term yet. */
  LEADER_NOT_READY,
  /** This member is transferring its leadership. */
  HANDING_OVER,
  /** The uncommitted commands exceed the size limit of the settings. */
  TOO_MUCH_UNCOMMITTED,
  /** The previous membership change isn't committed yet. */
  MEMBERSHIP_CHANGE_PENDING,
  /** The member is already in the group. */
  ALREADY_MEMBER,
  /** The member isn't in the group, or isn't a learner where one is required. */
  UNKNOWN_MEMBER,
  /** The learner hasn't recently synced all committed entries. */
  LEARNER_NOT_CAUGHT_UP,
  /** The group must keep at least one voter. */
  LAST_VOTER,
  /** There is no other voter, or the named one isn't another voter, to transfer leadership to. */
  NO_SUCCESSOR
}
