package org.teaseltrail.core.replication;

import java.util.Arrays;

/** Is what a log entry holds. */
public sealed interface EntryPayload {

  /** Holds nothing; a new leader commits it first, and with it all that came before. */
  record Noop() implements EntryPayload {}

  /**
   * Holds a command of the replicated state, opaque to the log.
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
   * Holds the member set that counts from this entry on, committed or not.
   *
   * @param membership the whole new member set
   */
  record MembershipPayload(Membership membership) implements EntryPayload {}

  /**
   * Returns the size that counts against limits on batches.
   *
   * @return size in bytes, without the record's own framing
   */
  default int sizeBytes() {
    return this instanceof CommandPayload command ? command.bytes().length : 0;
  }
}
