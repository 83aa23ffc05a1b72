package org.teaseltrail.control;

/** Says what a data folder is expected to hold at the start. */
enum StartMode {
  /** A member that goes on. */
  GO_ON,
  /** Nothing: a new group begins here. */
  NEW_GROUP,
  /** Nothing: a new member will be added to a group. */
  JOIN;

  static StartMode of(boolean newGroup, boolean join) {
    if (newGroup) {
      return NEW_GROUP;
    }
    return join ? JOIN : GO_ON;
  }
}
