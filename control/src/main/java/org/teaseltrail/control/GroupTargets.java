package org.teaseltrail.control;

import java.util.Optional;
import org.teaseltrail.core.id.MemberId;
import org.teaseltrail.core.id.VmId;
import org.teaseltrail.core.replication.Member;
import org.teaseltrail.core.replication.Membership;

/** Tells those that must know which members there are and who leads. */
final class GroupTargets {

  private final PeerLinks peers;
  private final LeaderHint hint;
  private final GroupDesk desk;
  private final Optional<GroupJoiner> joiner;
  private volatile Membership membership = Membership.empty();
  private volatile Optional<MemberId> leader = Optional.empty();

  GroupTargets(PeerLinks peers, LeaderHint hint, GroupDesk desk, Optional<GroupJoiner> joiner) {
    this.peers = peers;
    this.hint = hint;
    this.desk = desk;
    this.joiner = joiner;
  }

  void members(Membership changed) {
    membership = changed;
    peers.members(changed);
    hint.members(changed);
    desk.members(changed);
    joiner.ifPresent(
        present -> {
          peers.retain(changed);
          present.members(changed);
        });
  }

  void leader(Optional<MemberId> changed) {
    leader = changed;
    joiner.ifPresent(present -> present.leaderKnown(changed.isPresent()));
  }

  /** Returns the VM of a leader that this member knows, itself included. */
  Optional<VmId> leaderVm() {
    return leader.flatMap(membership::find).map(Member::vm);
  }
}
