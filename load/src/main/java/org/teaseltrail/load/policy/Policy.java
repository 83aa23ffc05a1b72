package org.teaseltrail.load.policy;

import java.util.ArrayList;
import java.util.EnumSet;
import java.util.List;
import java.util.Locale;
import java.util.Optional;
import org.teaseltrail.core.id.FencingNumber;
import org.teaseltrail.core.schedule.PolicyPart;
import org.teaseltrail.core.schedule.PoolScheduler;
import org.teaseltrail.core.schedule.Scheduler;
import org.teaseltrail.core.schedule.SchedulerSettings;
import org.teaseltrail.load.policy.baseline.Baseline;
import org.teaseltrail.load.workload.Deployment;

/**
 * Routing policy to compare: either a baseline, which runs as a separate instance on each VM, or
 * the pool scheduler, which runs as a single instance.
 *
 * @param name its name in reports
 * @param baseline the baseline, or empty for the pool scheduler
 * @param settings the settings of the pool scheduler
 */
public record Policy(String name, Optional<Baseline> baseline, SchedulerSettings settings) {

  /**
   * Number of requests that may wait in the whole fleet for each running one before a queue per VM
   * sheds load.
   */
  private static final int WAITING_PER_RUNNING = 4;

  private static final FencingNumber FIRST_LEADERSHIP = new FencingNumber(1);
  private static final String SCHEDULER_NAME = "scheduler";

  /** Returns the pool scheduler with all parts of its policy enabled. */
  public static Policy scheduler() {
    return new Policy(SCHEDULER_NAME, Optional.empty(), SchedulerSettings.defaults());
  }

  /** Returns the pool scheduler with one part of its policy disabled. */
  public static Policy without(PolicyPart part) {
    SchedulerSettings settings = SchedulerSettings.defaults().without(part);
    return new Policy("no-" + kebabCase(part), Optional.empty(), settings);
  }

  /** Returns the policy of a baseline. */
  public static Policy of(Baseline baseline) {
    return new Policy(kebabCase(baseline), Optional.of(baseline), SchedulerSettings.defaults());
  }

  /** Returns the pool scheduler and all baselines. */
  public static List<Policy> withBaselines() {
    List<Policy> policies = new ArrayList<>(List.of(scheduler()));
    EnumSet.allOf(Baseline.class).forEach(b -> policies.add(of(b)));
    return policies;
  }

  /**
   * Returns the complete pool scheduler and, for each part of its policy, a variant with that part
   * disabled.
   */
  public static List<Policy> withPartsDisabled() {
    List<Policy> policies = new ArrayList<>(List.of(scheduler()));
    EnumSet.allOf(PolicyPart.class).forEach(p -> policies.add(without(p)));
    return policies;
  }

  /** Returns whether each VM runs its own instance of the policy. */
  boolean isPerVm() {
    return baseline.isPresent();
  }

  /** Creates the pool scheduler, or the baseline's instance for one VM. */
  Scheduler create(Deployment deployment, long seed) {
    if (baseline.isEmpty()) {
      return new PoolScheduler(deployment.pool(), FIRST_LEADERSHIP, settings, seed);
    }
    int running = deployment.engines().stream().mapToInt(e -> e.maxBatch()).sum();
    return baseline.get().create(deployment.entryVms(), running * WAITING_PER_RUNNING, seed);
  }

  private static String kebabCase(Enum<?> constant) {
    return constant.name().toLowerCase(Locale.ROOT).replace('_', '-');
  }
}
