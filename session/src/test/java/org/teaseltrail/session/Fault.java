package org.teaseltrail.session;

import java.util.List;
import java.util.Optional;
import java.util.SplittableRandom;
import org.teaseltrail.core.configuration.ConfigurationChange;
import org.teaseltrail.core.configuration.TierDefinition;
import org.teaseltrail.core.id.Revision;
import org.teaseltrail.core.id.Tier;

/** Says what goes wrong in a random run, and for how long. */
enum Fault {
  KILL_ENTRY {
    @Override
    void strike(SessionWorld world) {
      killFor(world, anyOf(world, world.entries()), 3_000);
    }
  },
  KILL_MEMBER {
    @Override
    void strike(SessionWorld world) {
      killFor(world, anyOf(world, world.members()), 3_000);
    }
  },
  KILL_LEADER {
    @Override
    void strike(SessionWorld world) {
      world.leader().ifPresent(leader -> killFor(world, leader, 1_500));
    }
  },
  KILL_ENGINE {
    @Override
    void strike(SessionWorld world) {
      killFor(world, anyOf(world, world.engines()), 2_000);
    }
  },
  HAND_OVER {
    @Override
    void strike(SessionWorld world) {
      world.leader().ifPresent(ControlProcess::handOver);
    }
  },
  FREEZE_LEADER {
    @Override
    void strike(SessionWorld world) {
      world.leader().ifPresent(leader -> freezeFor(world, leader, 5_000));
    }
  },
  FREEZE_LEADER_AT_GRANT {
    @Override
    void strike(SessionWorld world) {
      world
          .leader()
          .ifPresent(
              leader -> {
                leader.freezeAtNextGrant();
                after(world, 5_000, leader::thaw);
              });
    }
  },
  FREEZE_ENTRY {
    @Override
    void strike(SessionWorld world) {
      freezeFor(world, anyOf(world, world.entries()), 5_000);
    }
  },
  ISOLATE_LEADER {
    @Override
    void strike(SessionWorld world) {
      world.leader().ifPresent(leader -> isolateFor(world, leader, 12_000));
    }
  },
  ISOLATE_ENTRY {
    @Override
    void strike(SessionWorld world) {
      isolateFor(world, anyOf(world, world.entries()), 6_000);
    }
  },
  CUT_ONE_WAY {
    @Override
    void strike(SessionWorld world) {
      ControlProcess member = anyOf(world, world.members());
      boolean outwards = world.random().nextBoolean();
      for (FakeProcess other : world.processes()) {
        if (outwards) {
          world.network().cutOneWay(member, other);
        } else {
          world.network().cutOneWay(other, member);
        }
      }
      after(world, 6_000, () -> world.network().heal(member));
    }
  },
  LEAVE_ENGINE {
    @Override
    void strike(SessionWorld world) {
      EngineProcess engine = anyOf(world, world.engines());
      if (engine.isUp() && engine.leavingSinceNs() == Long.MAX_VALUE) {
        engine.leave(() -> engine.later(RETIRE_NS, () -> killFor(world, engine, 1_000)));
      }
    }
  },
  STRAGGLE {
    @Override
    void strike(SessionWorld world) {
      EngineProcess engine = anyOf(world, world.engines());
      if (engine.isUp()) {
        engine.straggle(8);
        engine.later(3_000 * Timeline.MS, () -> engine.straggle(1));
      }
    }
  },
  BREAK_STREAMS {
    @Override
    void strike(SessionWorld world) {
      for (Submission submission : world.callers().all()) {
        if (!submission.isOver() && submission.engine() != null) {
          submission.engine().breakConnections(submission.id());
        }
      }
    }
  },
  DISTURB_STREAMS {
    @Override
    void strike(SessionWorld world) {
      EngineReader.Mischief[] all = EngineReader.Mischief.values();
      for (Submission submission : world.callers().all()) {
        if (!submission.isOver() && submission.engine() != null) {
          EngineReader.Mischief one = all[world.random().nextInt(all.length)];
          submission.engine().disturb(submission.id(), one);
        }
      }
    }
  },
  DRAIN_UPSTREAM {
    @Override
    void strike(SessionWorld world) {
      EngineProcess engine = anyOf(world, world.engines());
      change(world, Optional.empty(), new ConfigurationChange.SetDraining(engine.id(), true));
      after(
          world,
          4_000,
          () ->
              change(
                  world,
                  Optional.empty(),
                  new ConfigurationChange.SetDraining(engine.id(), false)));
    }
  },
  RACE_OF_OPERATORS {
    @Override
    void strike(SessionWorld world) {
      Optional<Revision> seen = Optional.of(new Revision(world.checks().newestRevision()));
      for (String name : List.of("gold", "silver", "bronze")) {
        change(world, seen, new ConfigurationChange.PutTier(new TierDefinition(new Tier(1), name)));
      }
    }
  },
  DRAIN_ENTRY {
    @Override
    void strike(SessionWorld world) {
      EntryProcess entry = anyOf(world, world.entries());
      if (entry.isUp()) {
        entry.deliver(entry.life(), entry::drain);
        after(world, 15_000, entry::start);
      }
    }
  };

  private static final long RETIRE_NS = 4_000 * Timeline.MS;

  abstract void strike(SessionWorld world);

  static Fault any(SplittableRandom random) {
    return values()[random.nextInt(values().length)];
  }

  private static <T> T anyOf(SessionWorld world, List<T> all) {
    return all.get(world.random().nextInt(all.size()));
  }

  /** Does something after a time drawn up to a bound. */
  private static void after(SessionWorld world, long maxMs, Runnable step) {
    world.timeline().after(world.random().nextLong(maxMs * Timeline.MS), step);
  }

  private static void killFor(SessionWorld world, FakeProcess process, long maxMs) {
    process.kill();
    after(world, maxMs, process::start);
  }

  private static void freezeFor(SessionWorld world, FakeProcess process, long maxMs) {
    process.freeze();
    after(world, maxMs, process::thaw);
  }

  private static void isolateFor(SessionWorld world, FakeProcess process, long maxMs) {
    world.processes().forEach(other -> world.network().cut(process, other));
    after(world, maxMs, () -> world.network().heal(process));
  }

  private static void change(
      SessionWorld world, Optional<Revision> expected, ConfigurationChange item) {
    world.operator().change("change-" + world.random().nextLong(), expected, List.of(item));
  }
}
