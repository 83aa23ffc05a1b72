package org.teaseltrail.control;

import java.util.List;
import java.util.function.Consumer;
import org.teaseltrail.core.control.ControlEvent;
import org.teaseltrail.core.id.VmId;
import org.teaseltrail.core.message.GroupMessage;
import org.teaseltrail.core.message.GroupReply;
import org.teaseltrail.core.replication.GroupId;
import org.teaseltrail.core.replication.Member;
import org.teaseltrail.core.replication.Membership;
import org.teaseltrail.wire.CloseReason;
import org.teaseltrail.wire.FrameConnection;
import org.teaseltrail.wire.FrameListener;

/** Handles requests to join the group and replies with the VMs of its members. */
final class JoinRequestHandler implements FrameListener<GroupMessage, GroupReply> {

  private final GroupId group;
  private final Consumer<ControlEvent> events;
  private volatile List<VmId> memberVms = List.of();

  JoinRequestHandler(GroupId group, Consumer<ControlEvent> events) {
    this.group = group;
    this.events = events;
  }

  void members(Membership membership) {
    memberVms = membership.all().map(Member::vm).distinct().toList();
  }

  @Override
  public void onOpened(FrameConnection<GroupMessage, GroupReply> connection) {}

  @Override
  public void onReceived(
      FrameConnection<GroupMessage, GroupReply> connection, GroupMessage message) {
    GroupMessage.Join join = (GroupMessage.Join) message;
    if (join.group().equals(group)) {
      events.accept(new ControlEvent.MemberJoins(join.member()));
      connection.send(new GroupReply.KnownMembers(memberVms));
    }
  }

  @Override
  public void onClosed(FrameConnection<GroupMessage, GroupReply> connection, CloseReason reason) {}
}
