package org.teaseltrail.load.policy;

import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import org.teaseltrail.core.id.UpstreamId;
import org.teaseltrail.core.id.VmId;
import org.teaseltrail.core.message.EntryMessage;
import org.teaseltrail.core.schedule.SchedulerEvent;
import org.teaseltrail.core.upstream.Announcement;
import org.teaseltrail.core.upstream.CacheEvent;
import org.teaseltrail.load.workload.Deployment;
import org.teaseltrail.load.workload.EngineSpec;
import org.teaseltrail.load.workload.PlannedRequest;

/** Simulates one policy in one scenario with one seed. */
public final class PolicyRun {

  private final Scenario scenario;
  private final Policy policy;
  private final long seed;
  private final Deployment deployment;
  private final VirtualTimeExecutor time = new VirtualTimeExecutor();
  private final NetworkDelays network;
  private final RunMetrics measures;
  private final EntryVmSimulator entryVms;
  private final List<VmId> vms = new ArrayList<>();
  private final Map<VmId, SchedulerSimulator> schedulers = new LinkedHashMap<>();
  private final Map<UpstreamId, EngineSimulator> engines = new LinkedHashMap<>();
  private int nextVm;

  /** Creates a run. */
  public PolicyRun(Scenario scenario, Policy policy, long seed) {
    this.scenario = scenario;
    this.policy = policy;
    this.seed = seed;
    this.deployment = scenario.deployment();
    this.network = new NetworkDelays(deployment);
    this.measures = new RunMetrics(deployment);
    this.entryVms = new EntryVmSimulator(time, deployment, measures);
  }

  /** Runs the simulation to its end. */
  public RunResult run() {
    createVms();
    createEngines();
    entryVms.connect(schedulers, engines);
    for (PlannedRequest request : scenario.plan(seed)) {
      VmId vm = vms.get(request.index() % vms.size());
      entryVms.plan(request, vm, scenario.counts(request));
    }
    scenario.fault().plan(time, scenario, List.copyOf(engines.values()));
    time.runUntil(scenario.endNs());
    entryVms.finish();
    return measures.result(policy.name(), seed);
  }

  private void createVms() {
    for (int i = 0; i < deployment.entryVms(); i++) {
      vms.add(new VmId("entry-" + (i + 1)));
    }
    if (policy.isPerVm()) {
      vms.forEach(vm -> schedulers.put(vm, schedulerNode(seed + vms.indexOf(vm), 0)));
    } else {
      SchedulerSimulator node = schedulerNode(seed, network.controlNs());
      vms.forEach(vm -> schedulers.put(vm, node));
    }
  }

  private SchedulerSimulator schedulerNode(long schedulerSeed, long delayNs) {
    SchedulerSimulator node =
        new SchedulerSimulator(
            time,
            policy.create(deployment, schedulerSeed),
            delayNs,
            network.claimNs(),
            entryVms::receive,
            measures);
    node.handle(
        new SchedulerEvent.ConfigurationChanged(PoolConfigurationFactory.create(deployment)));
    return node;
  }

  private void createEngines() {
    for (EngineSpec spec : deployment.engines()) {
      engines.put(
          spec.id(),
          new EngineSimulator(
              time, deployment, spec, entryVms, new UpstreamEventForwarder(), seed));
    }
    engines.values().forEach(EngineSimulator::start);
  }

  /**
   * Forwards an upstream's event to the schedulers: through one entry VM in rotation to the pool
   * scheduler, or to the baseline instance of every VM.
   */
  private void forwardUpstreamEvent(EntryMessage message) {
    if (policy.isPerVm()) {
      schedulers.forEach((vm, node) -> node.send(vm, message));
      return;
    }
    VmId vm = vms.get(nextVm++ % vms.size());
    schedulers.get(vm).send(vm, message);
  }

  private final class UpstreamEventForwarder implements UpstreamEventListener {

    @Override
    public void onAnnouncement(Announcement announcement) {
      EntryMessage message = new EntryMessage.UpstreamSeen(announcement, 0);
      time.scheduleAfter(network.upstreamNs(), () -> forwardUpstreamEvent(message));
    }

    @Override
    public void onCacheEvent(CacheEvent event) {
      EntryMessage message = new EntryMessage.CacheSeen(event);
      time.scheduleAfter(network.upstreamNs(), () -> forwardUpstreamEvent(message));
    }
  }
}
