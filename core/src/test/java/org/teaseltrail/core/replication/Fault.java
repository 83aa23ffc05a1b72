package org.teaseltrail.core.replication;

import java.util.List;
import java.util.Optional;
import org.teaseltrail.core.id.VmId;

/** Fault or operator action that a random run injects. */
enum Fault {
  CRASH {
    @Override
    void happen(FaultRun run, FakeGroup group) {
      FakeMember member = group.anyMember();
      if (member.isUp()) {
        member.crash();
        group.after(group.random().nextLong(2_000) * FakeGroup.MS, member::start);
      }
    }
  },
  FREEZE {
    @Override
    void happen(FaultRun run, FakeGroup group) {
      FakeMember member = group.anyMember();
      member.freeze();
      group.after(group.random().nextLong(2_000) * FakeGroup.MS, member::thaw);
    }
  },
  FREEZE_LEADER {
    @Override
    void happen(FaultRun run, FakeGroup group) {
      Optional<FakeMember> leader = group.leader();
      leader.ifPresent(FakeMember::freeze);
      leader.ifPresent(
          member -> group.after(group.random().nextLong(2_000) * FakeGroup.MS, member::thaw));
    }
  },
  RESTART_AT_ONCE {
    @Override
    void happen(FaultRun run, FakeGroup group) {
      FakeMember member = group.anyMember();
      if (member.isUp()) {
        member.crash();
        member.start();
      }
    }
  },
  CUT_FROM_LEADER {
    @Override
    void happen(FaultRun run, FakeGroup group) {
      FakeMember member = group.anyMember();
      group.leader().ifPresent(leader -> group.cut(leader, member));
      group.leader().ifPresent(leader -> group.cut(member, leader));
    }
  },
  CUT_ONE_WAY {
    @Override
    void happen(FaultRun run, FakeGroup group) {
      group.cut(group.anyMember(), group.anyMember());
    }
  },
  ISOLATE {
    @Override
    void happen(FaultRun run, FakeGroup group) {
      group.isolate(group.anyMember());
    }
  },
  ISOLATE_LEADER {
    @Override
    void happen(FaultRun run, FakeGroup group) {
      group.leader().ifPresent(group::isolate);
    }
  },
  MUTE_LEADER {
    @Override
    void happen(FaultRun run, FakeGroup group) {
      group
          .leader()
          .ifPresent(leader -> group.members().forEach(other -> group.cut(leader, other)));
    }
  },
  DEAFEN_LEADER {
    @Override
    void happen(FaultRun run, FakeGroup group) {
      group
          .leader()
          .ifPresent(leader -> group.members().forEach(other -> group.cut(other, leader)));
    }
  },
  HEAL {
    @Override
    void happen(FaultRun run, FakeGroup group) {
      group.heal();
    }
  },
  HEAL_AND_LOSE {
    @Override
    void happen(FaultRun run, FakeGroup group) {
      group.heal();
      group.loses(group.random().nextInt(20));
    }
  },
  HAND_OVER {
    @Override
    void happen(FaultRun run, FakeGroup group) {
      group.anyMember().handle(new ReplicaEvent.TransferLeadership(0, Optional.empty()));
    }
  },
  LOSE_DISK {
    @Override
    void happen(FaultRun run, FakeGroup group) {
      run.loseDisk();
    }
  };

  private static final VmId NEVER = new VmId("never");

  abstract void happen(FaultRun run, FakeGroup group);

  private static void proposeToLeaders(FakeGroup group, MembershipChange change) {
    for (FakeMember member : List.copyOf(group.members())) {
      if (member.leads()) {
        member.handle(new ReplicaEvent.ProposeMembership(0, change));
      }
    }
  }
}
