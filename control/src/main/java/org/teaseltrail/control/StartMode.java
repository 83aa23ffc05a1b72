package org.teaseltrail.control;

/** Expected content of the data folder at startup. */
enum StartMode {
  /** The state of an existing member, which resumes. */
  GO_ON,
  /** Nothing: this member creates a new group. */
  NEW_GROUP,
  /** Nothing: this new member will be added to an existing group. */
  JOIN;

  static StartMode of(boolean newGroup, boolean join) {
    if (newGroup) {
      return NEW_GROUP;
    }
    return join ? JOIN : GO_ON;
  }
}
