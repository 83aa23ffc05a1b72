package org.teaseltrail.session;

import java.util.List;
import java.util.Optional;
import java.util.SplittableRandom;
import org.teaseltrail.core.configuration.ConfigurationChange;
import org.teaseltrail.core.configuration.TierDefinition;
import org.teaseltrail.core.id.Revision;
import org.teaseltrail.core.id.Tier;

/** Faults that are injected into random sessions, with the upper bounds of their durations. */
enum Fault {
  KILL_ENTRY {
    @Override
    void strike(SessionWorld cluster) {
      killFor(cluster, randomOf(cluster, cluster.entries()), 3_000);
    }
  },
  KILL_MEMBER {
    @Override
    void strike(SessionWorld cluster) {
      killFor(cluster, randomOf(cluster, cluster.members()), 3_000);
    }
  },
  KILL_LEADER {
    @Override
    void strike(SessionWorld cluster) {
      cluster.leader().ifPresent(leader -> killFor(cluster, leader, 1_500));
    }
  },
  KILL_ENGINE {
    @Override
    void strike(SessionWorld cluster) {
      killFor(cluster, randomOf(cluster, cluster.engines()), 2_000);
    }
  },
  HAND_OVER {
    @Override
    void strike(SessionWorld cluster) {
      cluster.leader().ifPresent(ControlProcess::handOver);
    }
  },
  FREEZE_LEADER {
    @Override
    void strike(SessionWorld cluster) {
      cluster.leader().ifPresent(leader -> pauseFor(cluster, leader, 5_000));
    }
  },
  FREEZE_LEADER_AT_GRANT {
    @Override
    void strike(SessionWorld cluster) {
      cluster
          .leader()
          .ifPresent(
              leader -> {
                leader.freezeAtNextGrant();
                after(cluster, 5_000, leader::thaw);
              });
    }
  },
  FREEZE_ENTRY {
    @Override
    void strike(SessionWorld cluster) {
      pauseFor(cluster, randomOf(cluster, cluster.entries()), 5_000);
    }
  },
  ISOLATE_LEADER {
    @Override
    void strike(SessionWorld cluster) {
      cluster.leader().ifPresent(leader -> isolateFor(cluster, leader, 12_000));
    }
  },
  ISOLATE_ENTRY {
    @Override
    void strike(SessionWorld cluster) {
      isolateFor(cluster, randomOf(cluster, cluster.entries()), 6_000);
    }
  },
  CUT_ONE_WAY {
    @Override
    void strike(SessionWorld cluster) {
      ControlProcess member = randomOf(cluster, cluster.members());
      boolean outwards = cluster.random().nextBoolean();
      for (FakeProcess other : cluster.processes()) {
        if (outwards) {
          cluster.network().cutOneWay(member, other);
        } else {
          cluster.network().cutOneWay(other, member);
        }
      }
      after(cluster, 6_000, () -> cluster.network().heal(member));
    }
  },
  LEAVE_ENGINE {
    @Override
    void strike(SessionWorld cluster) {
      EngineProcess engine = randomOf(cluster, cluster.engines());
      if (engine.isUp() && engine.leavingSinceNs() == Long.MAX_VALUE) {
        engine.leave(() -> engine.later(STOP_DELAY_NS, () -> killFor(cluster, engine, 1_000)));
      }
    }
  },
  STRAGGLE {
    @Override
    void strike(SessionWorld cluster) {
      EngineProcess engine = randomOf(cluster, cluster.engines());
      if (engine.isUp()) {
        engine.straggle(8);
        engine.later(3_000 * Timeline.MS, () -> engine.straggle(1));
      }
    }
  },
  BREAK_STREAMS {
    @Override
    void strike(SessionWorld cluster) {
      for (Submission submission : cluster.callers().all()) {
        if (!submission.isOver() && submission.engine() != null) {
          submission.engine().breakConnections(submission.id());
        }
      }
    }
  },
  DISTURB_STREAMS {
    @Override
    void strike(SessionWorld cluster) {
      EngineReader.Mischief[] all = EngineReader.Mischief.values();
      for (Submission submission : cluster.callers().all()) {
        if (!submission.isOver() && submission.engine() != null) {
          EngineReader.Mischief frameFault = all[cluster.random().nextInt(all.length)];
          submission.engine().disturb(submission.id(), frameFault);
        }
      }
    }
  },
  DRAIN_UPSTREAM {
    @Override
    void strike(SessionWorld cluster) {
      EngineProcess engine = randomOf(cluster, cluster.engines());
      change(cluster, Optional.empty(), new ConfigurationChange.SetDraining(engine.id(), true));
      after(
          cluster,
          4_000,
          () ->
              change(
                  cluster,
                  Optional.empty(),
                  new ConfigurationChange.SetDraining(engine.id(), false)));
    }
  },
  RACE_OF_OPERATORS {
    @Override
    void strike(SessionWorld cluster) {
      Optional<Revision> currentRevision =
          Optional.of(new Revision(cluster.checks().newestRevision()));
      for (String name : List.of("gold", "silver", "bronze")) {
        change(
            cluster,
            currentRevision,
            new ConfigurationChange.PutTier(new TierDefinition(new Tier(1), name)));
      }
    }
  },
  DRAIN_ENTRY {
    @Override
    void strike(SessionWorld cluster) {
      EntryProcess entry = randomOf(cluster, cluster.entries());
      if (entry.isUp()) {
        entry.deliver(entry.life(), entry::drain);
        after(cluster, 15_000, entry::start);
      }
    }
  };

  private static final long STOP_DELAY_NS = 4_000 * Timeline.MS;

  abstract void strike(SessionWorld cluster);

  static Fault any(SplittableRandom random) {
    return values()[random.nextInt(values().length)];
  }

  private static <T> T randomOf(SessionWorld cluster, List<T> all) {
    return all.get(cluster.random().nextInt(all.size()));
  }

  /** Runs a step after a random delay below the given bound. */
  private static void after(SessionWorld cluster, long maxMs, Runnable step) {
    cluster.timeline().after(cluster.random().nextLong(maxMs * Timeline.MS), step);
  }

  private static void killFor(SessionWorld cluster, FakeProcess process, long maxMs) {
    process.kill();
    after(cluster, maxMs, process::start);
  }

  private static void pauseFor(SessionWorld cluster, FakeProcess process, long maxMs) {
    process.freeze();
    after(cluster, maxMs, process::thaw);
  }

  private static void isolateFor(SessionWorld cluster, FakeProcess process, long maxMs) {
    cluster.processes().forEach(other -> cluster.network().cut(process, other));
    after(cluster, maxMs, () -> cluster.network().heal(process));
  }

  private static void change(
      SessionWorld cluster, Optional<Revision> expected, ConfigurationChange item) {
    cluster.operator().change("change-" + cluster.random().nextLong(), expected, List.of(item));
  }
}
