package org.teaseltrail.wire;

/** Type of client that opens a connection. */
public enum ClientType {
  /** An entry VM that connects to control members. */
  ENTRY_VM,
  /** A control member that connects to its peers. */
  CONTROL_MEMBER,
  /** An entry VM that schedules requests itself. */
  SERVING_VM,
  /** A control member that requests to join the group. */
  JOINING_MEMBER
}
