package org.teaseltrail.core.replication;

import java.util.List;
import java.util.Optional;
import org.teaseltrail.core.id.VmId;

/** Fault or operator action that a random run injects. */
enum Fault {
  CRASH {
    @Override
    void inject(FaultRun run, FakeGroup group) {
      FakeMember member = group.anyMember();
      if (member.isUp()) {
        member.crash();
        group.runAfter(group.random().nextLong(2_000) * FakeGroup.MS, member::start);
      }
    }
  },
  PAUSE {
    @Override
    void inject(FaultRun run, FakeGroup group) {
      FakeMember member = group.anyMember();
      member.pause();
      group.runAfter(group.random().nextLong(2_000) * FakeGroup.MS, member::resume);
    }
  },
  PAUSE_LEADER {
    @Override
    void inject(FaultRun run, FakeGroup group) {
      Optional<FakeMember> leader = group.leader();
      leader.ifPresent(FakeMember::pause);
      leader.ifPresent(
          member -> group.runAfter(group.random().nextLong(2_000) * FakeGroup.MS, member::resume));
    }
  },
  RESTART_IMMEDIATELY {
    @Override
    void inject(FaultRun run, FakeGroup group) {
      FakeMember member = group.anyMember();
      if (member.isUp()) {
        member.crash();
        member.start();
      }
    }
  },
  CUT_FROM_LEADER {
    @Override
    void inject(FaultRun run, FakeGroup group) {
      FakeMember member = group.anyMember();
      group.leader().ifPresent(leader -> group.cutLink(leader, member));
      group.leader().ifPresent(leader -> group.cutLink(member, leader));
    }
  },
  CUT_ONE_WAY {
    @Override
    void inject(FaultRun run, FakeGroup group) {
      group.cutLink(group.anyMember(), group.anyMember());
    }
  },
  ISOLATE {
    @Override
    void inject(FaultRun run, FakeGroup group) {
      group.isolate(group.anyMember());
    }
  },
  ISOLATE_LEADER {
    @Override
    void inject(FaultRun run, FakeGroup group) {
      group.leader().ifPresent(group::isolate);
    }
  },
  CUT_LEADER_OUTBOUND {
    @Override
    void inject(FaultRun run, FakeGroup group) {
      group
          .leader()
          .ifPresent(leader -> group.members().forEach(other -> group.cutLink(leader, other)));
    }
  },
  CUT_LEADER_INBOUND {
    @Override
    void inject(FaultRun run, FakeGroup group) {
      group
          .leader()
          .ifPresent(leader -> group.members().forEach(other -> group.cutLink(other, leader)));
    }
  },
  HEAL {
    @Override
    void inject(FaultRun run, FakeGroup group) {
      group.heal();
    }
  },
  HEAL_AND_DROP_MESSAGES {
    @Override
    void inject(FaultRun run, FakeGroup group) {
      group.heal();
      group.setLossPercent(group.random().nextInt(20));
    }
  },
  TRANSFER_LEADERSHIP {
    @Override
    void inject(FaultRun run, FakeGroup group) {
      group.anyMember().handle(new ReplicaEvent.TransferLeadership(0, Optional.empty()));
    }
  },
  LOSE_DISK {
    @Override
    void inject(FaultRun run, FakeGroup group) {
      run.loseDisk();
    }
  };

  private static final VmId NEVER = new VmId("never");

  abstract void inject(FaultRun run, FakeGroup group);

  private static void proposeToLeaders(FakeGroup group, MembershipChange change) {
    for (FakeMember member : List.copyOf(group.members())) {
      if (member.isLeader()) {
        member.handle(new ReplicaEvent.ProposeMembership(0, change));
      }
    }
  }
}
