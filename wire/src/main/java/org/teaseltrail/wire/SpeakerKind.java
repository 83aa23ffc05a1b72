package org.teaseltrail.wire;

/** Says what kind of process opens a connection. */
public enum SpeakerKind {
  /** An entry VM, which speaks to control members. */
  ENTRY_VM,
  /** A control member, which speaks to its peers. */
  CONTROL_MEMBER
}
