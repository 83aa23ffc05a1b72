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
    void inject(SimulatedCluster cluster) {
      killFor(cluster, randomOf(cluster, cluster.entries()), 3_000);
    }
  },
  KILL_MEMBER {
    @Override
    void inject(SimulatedCluster cluster) {
      killFor(cluster, randomOf(cluster, cluster.members()), 3_000);
    }
  },
  KILL_LEADER {
    @Override
    void inject(SimulatedCluster cluster) {
      cluster.leader().ifPresent(leader -> killFor(cluster, leader, 1_500));
    }
  },
  KILL_ENGINE {
    @Override
    void inject(SimulatedCluster cluster) {
      killFor(cluster, randomOf(cluster, cluster.engines()), 2_000);
    }
  },
  HAND_OVER {
    @Override
    void inject(SimulatedCluster cluster) {
      cluster.leader().ifPresent(ControlProcess::handOver);
    }
  },
  FREEZE_LEADER {
    @Override
    void inject(SimulatedCluster cluster) {
      cluster.leader().ifPresent(leader -> pauseFor(cluster, leader, 5_000));
    }
  },
  FREEZE_LEADER_AT_GRANT {
    @Override
    void inject(SimulatedCluster cluster) {
      cluster
          .leader()
          .ifPresent(
              leader -> {
                leader.pauseBeforeNextGrant();
                after(cluster, 5_000, leader::unpause);
              });
    }
  },
  FREEZE_ENTRY {
    @Override
    void inject(SimulatedCluster cluster) {
      pauseFor(cluster, randomOf(cluster, cluster.entries()), 5_000);
    }
  },
  ISOLATE_LEADER {
    @Override
    void inject(SimulatedCluster cluster) {
      cluster.leader().ifPresent(leader -> isolateFor(cluster, leader, 12_000));
    }
  },
  ISOLATE_ENTRY {
    @Override
    void inject(SimulatedCluster cluster) {
      isolateFor(cluster, randomOf(cluster, cluster.entries()), 6_000);
    }
  },
  CUT_ONE_WAY {
    @Override
    void inject(SimulatedCluster cluster) {
      ControlProcess member = randomOf(cluster, cluster.members());
      boolean outwards = cluster.random().nextBoolean();
      for (SimulatedProcess other : cluster.processes()) {
        if (outwards) {
          cluster.network().partitionOneWay(member, other);
        } else {
          cluster.network().partitionOneWay(other, member);
        }
      }
      after(cluster, 6_000, () -> cluster.network().heal(member));
    }
  },
  LEAVE_ENGINE {
    @Override
    void inject(SimulatedCluster cluster) {
      EngineProcess engine = randomOf(cluster, cluster.engines());
      if (engine.isRunning() && engine.leavingSinceNs() == Long.MAX_VALUE) {
        engine.leave(() -> engine.schedule(STOP_DELAY_NS, () -> killFor(cluster, engine, 1_000)));
      }
    }
  },
  STRAGGLE {
    @Override
    void inject(SimulatedCluster cluster) {
      EngineProcess engine = randomOf(cluster, cluster.engines());
      if (engine.isRunning()) {
        engine.slowDown(8);
        engine.schedule(3_000 * Timeline.MS, () -> engine.slowDown(1));
      }
    }
  },
  BREAK_STREAMS {
    @Override
    void inject(SimulatedCluster cluster) {
      for (Submission submission : cluster.callers().all()) {
        if (!submission.isFinished() && submission.engine() != null) {
          submission.engine().breakConnections(submission.id());
        }
      }
    }
  },
  DISTURB_STREAMS {
    @Override
    void inject(SimulatedCluster cluster) {
      EngineStreamReader.FrameFault[] all = EngineStreamReader.FrameFault.values();
      for (Submission submission : cluster.callers().all()) {
        if (!submission.isFinished() && submission.engine() != null) {
          EngineStreamReader.FrameFault frameFault = all[cluster.random().nextInt(all.length)];
          submission.engine().injectFrameFault(submission.id(), frameFault);
        }
      }
    }
  },
  DRAIN_UPSTREAM {
    @Override
    void inject(SimulatedCluster cluster) {
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
    void inject(SimulatedCluster cluster) {
      Optional<Revision> currentRevision =
          Optional.of(new Revision(cluster.invariants().latestRevision()));
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
    void inject(SimulatedCluster cluster) {
      EntryProcess entry = randomOf(cluster, cluster.entries());
      if (entry.isRunning()) {
        entry.deliver(entry.incarnation(), entry::drain);
        after(cluster, 15_000, entry::start);
      }
    }
  };

  private static final long STOP_DELAY_NS = 4_000 * Timeline.MS;

  abstract void inject(SimulatedCluster cluster);

  static Fault any(SplittableRandom random) {
    return values()[random.nextInt(values().length)];
  }

  private static <T> T randomOf(SimulatedCluster cluster, List<T> all) {
    return all.get(cluster.random().nextInt(all.size()));
  }

  /** Runs a step after a random delay below the given bound. */
  private static void after(SimulatedCluster cluster, long maxMs, Runnable step) {
    cluster.timeline().after(cluster.random().nextLong(maxMs * Timeline.MS), step);
  }

  private static void killFor(SimulatedCluster cluster, SimulatedProcess process, long maxMs) {
    process.kill();
    after(cluster, maxMs, process::start);
  }

  private static void pauseFor(SimulatedCluster cluster, SimulatedProcess process, long maxMs) {
    process.pause();
    after(cluster, maxMs, process::unpause);
  }

  private static void isolateFor(SimulatedCluster cluster, SimulatedProcess process, long maxMs) {
    cluster.processes().forEach(other -> cluster.network().partition(process, other));
    after(cluster, maxMs, () -> cluster.network().heal(process));
  }

  private static void change(
      SimulatedCluster cluster, Optional<Revision> expected, ConfigurationChange item) {
    cluster.operator().change("change-" + cluster.random().nextLong(), expected, List.of(item));
  }
}
