package org.teaseltrail.control;

import java.util.Optional;
import org.teaseltrail.core.id.MemberId;
import org.teaseltrail.core.id.VmId;
import org.teaseltrail.core.replication.Member;
import org.teaseltrail.core.replication.Membership;

/** Notifies the components that depend on the membership of the group and on its leader. */
final class GroupChangeNotifier {

  private final PeerConnections peers;
  private final NotLeaderResponseFactory notLeaderResponses;
  private final JoinRequestHandler joinHandler;
  private final Optional<GroupJoinClient> joinClient;
  private volatile Membership membership = Membership.empty();
  private volatile Optional<MemberId> leader = Optional.empty();

  GroupChangeNotifier(
      PeerConnections peers,
      NotLeaderResponseFactory notLeaderResponses,
      JoinRequestHandler joinHandler,
      Optional<GroupJoinClient> joinClient) {
    this.peers = peers;
    this.notLeaderResponses = notLeaderResponses;
    this.joinHandler = joinHandler;
    this.joinClient = joinClient;
  }

  void members(Membership changed) {
    membership = changed;
    peers.members(changed);
    notLeaderResponses.members(changed);
    joinHandler.members(changed);
    joinClient.ifPresent(
        present -> {
          peers.retain(changed);
          present.members(changed);
        });
  }

  void leader(Optional<MemberId> changed) {
    leader = changed;
    joinClient.ifPresent(present -> present.setLeaderKnown(changed.isPresent()));
  }

  /** Returns the VM of the leader, which may be this member's, if a leader is known. */
  Optional<VmId> leaderVm() {
    return leader.flatMap(membership::find).map(Member::vm);
  }
}
