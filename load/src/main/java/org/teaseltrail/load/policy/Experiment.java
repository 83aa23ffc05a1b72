package org.teaseltrail.load.policy;

import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.Callable;
import java.util.concurrent.ExecutionException;
import java.util.concurrent.ExecutorService;
import java.util.concurrent.Executors;
import java.util.concurrent.Future;
import java.util.stream.LongStream;

/**
 * Runs each combination of policy and scenario on the same seeds, so that results can be compared
 * in pairs.
 */
public final class Experiment {

  private final List<Policy> policies;
  private final List<Scenario> scenarios;
  private final List<Long> seeds;

  /** Creates an experiment on consecutive seeds, starting with the first one. */
  public Experiment(
      List<Policy> policies, List<Scenario> scenarios, long firstSeed, int seedCount) {
    this.policies = List.copyOf(policies);
    this.scenarios = List.copyOf(scenarios);
    this.seeds = LongStream.range(firstSeed, firstSeed + seedCount).boxed().toList();
  }

  /**
   * Runs all combinations in parallel. Each run is deterministic and independent of the others.
   *
   * @param threads maximum number of concurrent runs
   * @throws ExperimentFailedException if a run violated an invariant or was interrupted
   */
  public List<GroupResult> run(int threads) {
    ExecutorService pool = Executors.newFixedThreadPool(threads);
    try {
      List<PendingGroup> pending = new ArrayList<>();
      for (Scenario scenario : scenarios) {
        for (Policy policy : policies) {
          pending.add(submit(pool, policy, scenario));
        }
      }
      List<GroupResult> results = new ArrayList<>();
      for (PendingGroup group : pending) {
        results.add(group.await());
      }
      return results;
    } finally {
      pool.shutdownNow();
    }
  }

  private PendingGroup submit(ExecutorService pool, Policy policy, Scenario scenario) {
    List<Future<RunResult>> runs = new ArrayList<>();
    for (long seed : seeds) {
      Callable<RunResult> run = () -> new PolicyRun(scenario, policy, seed).run();
      runs.add(pool.submit(run));
    }
    return new PendingGroup(policy, scenario, runs);
  }

  private record PendingGroup(Policy policy, Scenario scenario, List<Future<RunResult>> runs) {

    GroupResult await() {
      List<RunResult> results = new ArrayList<>();
      for (Future<RunResult> run : runs) {
        results.add(await(run));
      }
      return new GroupResult(policy, scenario, results);
    }

    private RunResult await(Future<RunResult> run) {
      try {
        return run.get();
      } catch (InterruptedException e) {
        Thread.currentThread().interrupt();
        throw new ExperimentFailedException(policy, scenario, e);
      } catch (ExecutionException e) {
        throw new ExperimentFailedException(policy, scenario, e.getCause());
      }
    }
  }
}
