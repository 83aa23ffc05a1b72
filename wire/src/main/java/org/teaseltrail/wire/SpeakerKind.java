package org.teaseltrail.wire;

/** Says what kind of process opens a connection. */
public enum SpeakerKind {
  /** An entry VM, which speaks to control members. */
  ENTRY_VM,
  /** A control member, which speaks to its peers. */
  CONTROL_MEMBER,
  /** An entry VM that places requests itself. */
  SERVING_VM,
  /** A control member that wants to belong to the group. */
  JOINING_MEMBER
}
