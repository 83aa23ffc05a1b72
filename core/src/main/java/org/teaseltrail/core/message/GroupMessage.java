package org.teaseltrail.core.message;

import org.teaseltrail.core.replication.GroupId;
import org.teaseltrail.core.replication.Member;

/** Is a message from a process whose member wants to belong to a group of control members. */
public sealed interface GroupMessage {

  /**
   * Asks to be taken in. Sent again and again until the member belongs to the group.
   *
   * @param group the group
   * @param member the member
   */
  record Join(GroupId group, Member member) implements GroupMessage {}
}
