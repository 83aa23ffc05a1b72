package org.teaseltrail.core.replication;

import java.util.Optional;

/** Is something that goes wrong, or that an operator does, in a random run. */
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

  abstract void happen(FaultRun run, FakeGroup group);
}
