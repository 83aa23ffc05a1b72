package org.teaseltrail.core.message;

import org.teaseltrail.core.replication.GroupId;
import org.teaseltrail.core.replication.Member;

/** Message from a process whose member requests to join a group of control members. */
public sealed interface GroupMessage {

  /**
   * Requests to join the group. Resent until the member belongs to it.
   *
   * @param group the group
   * @param member the member
   */
  record Join(GroupId group, Member member) implements GroupMessage {}
}
