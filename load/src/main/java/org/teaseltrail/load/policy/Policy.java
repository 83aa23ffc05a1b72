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
 * Is a way of routing under comparison: a baseline, of which each VM runs a part, or the pool
 * scheduler, of which there is one.
 *
 * @param name its name in reports
 * @param baseline the baseline, or empty for the pool scheduler
 * @param settings the pool scheduler's settings
 */
public record Policy(String name, Optional<Baseline> baseline, SchedulerSettings settings) {

  /** Requests that wait in the fleet for each that runs, before a queue per VM sheds. */
  private static final int WAITING_PER_RUNNING = 4;

  private static final FencingNumber FIRST_LEADERSHIP = new FencingNumber(1);
  private static final String SCHEDULER_NAME = "scheduler";

  /** Returns the pool scheduler with all parts of its policy on. */
  public static Policy scheduler() {
    return new Policy(SCHEDULER_NAME, Optional.empty(), SchedulerSettings.defaults());
  }

  /** Returns the pool scheduler with one part of its policy off. */
  public static Policy without(PolicyPart part) {
    SchedulerSettings settings = SchedulerSettings.defaults().without(part);
    return new Policy("no-" + kebab(part), Optional.empty(), settings);
  }

  /** Returns a baseline. */
  public static Policy of(Baseline baseline) {
    return new Policy(kebab(baseline), Optional.of(baseline), SchedulerSettings.defaults());
  }

  /** Returns the pool scheduler and each baseline. */
  public static List<Policy> withBaselines() {
    List<Policy> policies = new ArrayList<>(List.of(scheduler()));
    EnumSet.allOf(Baseline.class).forEach(b -> policies.add(of(b)));
    return policies;
  }

  /** Returns the pool scheduler whole and with each part of its policy off. */
  public static List<Policy> withPartsOff() {
    List<Policy> policies = new ArrayList<>(List.of(scheduler()));
    EnumSet.allOf(PolicyPart.class).forEach(p -> policies.add(without(p)));
    return policies;
  }

  /** Returns whether each VM runs a part of its own. */
  boolean isPerVm() {
    return baseline.isPresent();
  }

  /** Makes the scheduler, or one VM's part of it. */
  Scheduler create(Deployment deployment, long seed) {
    if (baseline.isEmpty()) {
      return new PoolScheduler(deployment.pool(), FIRST_LEADERSHIP, settings, seed);
    }
    int running = deployment.engines().stream().mapToInt(e -> e.maxBatch()).sum();
    return baseline.get().create(deployment.entryVms(), running * WAITING_PER_RUNNING, seed);
  }

  private static String kebab(Enum<?> constant) {
    return constant.name().toLowerCase(Locale.ROOT).replace('_', '-');
  }
}
