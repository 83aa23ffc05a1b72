package org.teaseltrail.control;

import org.teaseltrail.api.v1.Member;
import org.teaseltrail.api.v1.PoolStatus;
import org.teaseltrail.api.v1.Session;
import org.teaseltrail.api.v1.Status;
import org.teaseltrail.api.v1.TierWaiting;
import org.teaseltrail.api.v1.UpstreamStatus;
import org.teaseltrail.core.control.ControlStatus;
import org.teaseltrail.core.id.RegionId;
import org.teaseltrail.core.replication.Membership;
import org.teaseltrail.core.upstream.Announcement;
import org.teaseltrail.core.upstream.UpstreamPhase;

/** Converts the status of a member to protobuf messages of the operator API. */
final class StatusConverter {

  private StatusConverter() {}

  static Status toProto(RegionId region, ControlStatus status) {
    Status.Builder written =
        Status.newBuilder()
            .setRegion(region.value())
            .setMember(status.self().value())
            .setLeading(status.leading())
            .setTerm(status.term())
            .setRevision(status.revision().value());
    status.leader().ifPresent(leader -> written.setLeader(leader.value()));
    written.addAllMembers(members(status.membership()));
    status.entryVms().forEach(vm -> written.addSessions(session(vm)));
    status.pools().forEach(pool -> written.addPools(pool(pool)));
    status.upstreams().forEach(upstream -> written.addUpstreams(upstream(upstream)));
    return written.build();
  }

  static Iterable<Member> members(Membership membership) {
    return membership.all().map(member -> member(membership, member)).toList();
  }

  private static Member member(
      Membership membership, org.teaseltrail.core.replication.Member member) {
    boolean votes = membership.isVoter(member.id());
    return Member.newBuilder()
        .setId(member.id().value())
        .setVm(member.vm().value())
        .setRole(votes ? Member.Role.VOTER : Member.Role.LEARNER)
        .build();
  }

  private static Session session(ControlStatus.EntryVmStatus vm) {
    return Session.newBuilder()
        .setVm(vm.vm().value())
        .setDataCenter(vm.dataCenter().value())
        .setAppliedRevision(vm.appliedRevision().value())
        .setSinceHelloMs(vm.sinceHelloMs())
        .setReportsComplete(vm.reported())
        .build();
  }

  private static PoolStatus pool(ControlStatus.PoolStatus pool) {
    PoolStatus.Builder written =
        PoolStatus.newBuilder()
            .setPool(pool.pool().value())
            .setRunning(pool.runningRequests())
            .setMayShed(pool.canShed());
    pool.waiting()
        .forEach(
            tier ->
                written.addWaiting(
                    TierWaiting.newBuilder()
                        .setTier(tier.tier().rank())
                        .setRequests(tier.count())));
    return written.build();
  }

  private static UpstreamStatus upstream(ControlStatus.UpstreamStatus upstream) {
    UpstreamStatus.Builder written =
        UpstreamStatus.newBuilder()
            .setId(upstream.upstream().value())
            .setPool(upstream.pool().value())
            .setState(state(upstream))
            .setRunning(upstream.runningRequests());
    upstream
        .announcement()
        .map(Announcement::address)
        .ifPresent(address -> written.setAddress(address.host() + ":" + address.port()));
    return written.build();
  }

  private static UpstreamStatus.State state(ControlStatus.UpstreamStatus upstream) {
    if (upstream.announcement().isEmpty()) {
      return UpstreamStatus.State.SILENT;
    }
    if (upstream.announcement().get().phase() == UpstreamPhase.LEAVING) {
      return UpstreamStatus.State.LEAVING;
    }
    return upstream.draining() ? UpstreamStatus.State.DRAINING : UpstreamStatus.State.SERVING;
  }
}
