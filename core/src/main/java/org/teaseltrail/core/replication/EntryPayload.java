package org.teaseltrail.core.replication;

import java.util.Arrays;

/** Content of a log entry. */
public sealed interface EntryPayload {

  /** No-operation. A new leader commits it first, which also commits all entries before it. */
  record Noop() implements EntryPayload {}

  /**
   * Command for the replicated state, opaque to the log.
   *
   * @param bytes the encoded command; must not be changed afterwards
   */
  record CommandPayload(byte[] bytes) implements EntryPayload {

    @Override
    public boolean equals(Object other) {
      return other instanceof CommandPayload that && Arrays.equals(bytes, that.bytes);
    }

    @Override
    public int hashCode() {
      return Arrays.hashCode(bytes);
    }

    @Override
    public String toString() {
      return "CommandPayload[" + bytes.length + " bytes]";
    }
  }

  /**
   * Member set that is in effect from this entry on, whether committed or not.
   *
   * @param membership the complete new member set
   */
  record MembershipPayload(Membership membership) implements EntryPayload {}

  /**
   * Returns the size that counts towards the limits on batches.
   *
   * @return size of the command in bytes, without framing
   */
  default int sizeBytes() {
    return this instanceof CommandPayload command ? command.bytes().length : 0;
  }
}
