package org.teaseltrail.control;

import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.concurrent.ConcurrentHashMap;
import org.teaseltrail.api.v1.NotLeader;
import org.teaseltrail.core.id.MemberId;
import org.teaseltrail.core.id.VmId;
import org.teaseltrail.core.replication.Membership;

/** Creates the {@code NotLeader} reply, which directs an operator to the leader's address. */
final class NotLeaderResponseFactory {

  private final MemberId self;
  private final List<PeerAddress> operatorAddresses;
  private final Map<MemberId, VmId> vms = new ConcurrentHashMap<>();

  NotLeaderResponseFactory(MemberId self, List<PeerAddress> operatorAddresses) {
    this.self = self;
    this.operatorAddresses = List.copyOf(operatorAddresses);
  }

  void members(Membership membership) {
    membership.all().forEach(member -> vms.put(member.id(), member.vm()));
  }

  NotLeader create(Optional<MemberId> leader) {
    NotLeader.Builder written = NotLeader.newBuilder().setMember(self.value());
    leader.filter(known -> !known.equals(self)).ifPresent(known -> addLeader(written, known));
    return written.build();
  }

  private void addLeader(NotLeader.Builder written, MemberId leader) {
    written.setLeader(leader.value());
    VmId vm = vms.get(leader);
    operatorAddresses.stream()
        .filter(peer -> peer.vm().equals(vm))
        .map(PeerAddress::address)
        .forEach(address -> written.setLeaderAddress(address.host() + ":" + address.port()));
  }
}
