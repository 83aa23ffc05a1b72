package org.teaseltrail.core.control;

import java.util.Collection;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.OptionalLong;
import java.util.Set;
import java.util.stream.Collectors;
import org.teaseltrail.core.id.ServiceId;
import org.teaseltrail.core.id.VmId;
import org.teaseltrail.core.placement.UpstreamConditionTracker;
import org.teaseltrail.core.plan.InstalledPlan;
import org.teaseltrail.core.plan.PlanRoute;
import org.teaseltrail.core.plan.ServingPlan;
import org.teaseltrail.core.registry.Registration;
import org.teaseltrail.core.registry.UpstreamIncarnation;
import org.teaseltrail.core.registry.UpstreamRegistry;
import org.teaseltrail.core.serving.ServingMessage;
import org.teaseltrail.core.serving.ServingReply;
import org.teaseltrail.core.serving.UpstreamCondition;
import org.teaseltrail.core.state.ClusterState;

/**
 * Merges, on the leader, what the VMs heard of upstreams' conditions, and sends the changes to all
 * VMs. A new leader starts with none and learns them again from the VMs' next reports.
 */
final class ConditionCoordinator {

  /**
   * Minimum time between two updates: a fifth of the time after which a condition is out of date.
   */
  private static final long UPDATE_INTERVAL_NS = 100_000_000L;

  private final Leadership leadership;
  private final LeaderFeature feature;
  private final UpstreamConditionTracker conditions = new UpstreamConditionTracker();
  private final Map<ServiceId, Double> maxPauseByServiceMs = new HashMap<>();
  private long knownRevision = -1;
  private long knownPlanVersion = ClusterState.NO_PLAN;
  private long nextUpdateNs;

  ConditionCoordinator(Leadership leadership) {
    this.leadership = leadership;
    feature =
        new LeaderFeature(
            leadership.context().settings().contention().upstreamConditions(), leadership);
  }

  /** Records what a VM heard. */
  void message(ServingMessage.Conditions message) {
    refresh();
    for (UpstreamCondition condition : message.conditions()) {
      UpstreamIncarnation upstream = condition.upstream();
      registry()
          .find(upstream.id())
          .filter(registration -> registration.upstreamIncarnation().equals(upstream))
          .filter(registration -> feature.appliesTo(registration.service()))
          .ifPresent(registration -> conditions.merge(condition, leadership.nowNs()));
    }
  }

  /** Sends the changes to the VMs if the next update is due. */
  void tick(Collection<VmId> vms) {
    if (!conditions.mayHaveChanges() || leadership.nowNs() < nextUpdateNs) {
      return;
    }
    nextUpdateNs = leadership.nowNs() + UPDATE_INTERVAL_NS;
    List<UpstreamCondition> changes = conditions.takeChanges(leadership.nowNs());
    if (!changes.isEmpty()) {
      ServingReply update = new ServingReply.ConditionUpdate(leadership.fencing(), changes);
      vms.forEach(vm -> leadership.sendServing(vm, update));
    }
  }

  OptionalLong nextWakeupNs() {
    return conditions.mayHaveChanges() ? OptionalLong.of(nextUpdateNs) : OptionalLong.empty();
  }

  /**
   * Returns the selector of the upstreams whose slots are granted, empty for services to which the
   * feature doesn't apply.
   *
   * @param service the service
   * @param upstreams its upstreams whose slots may be granted
   */
  Optional<GrantUpstreamSelector> selector(ServiceId service, Collection<Registration> upstreams) {
    refresh();
    if (!feature.appliesTo(service)) {
      return Optional.empty();
    }
    return Optional.of(
        new GrantUpstreamSelector(upstreams, conditions, maxPauseMs(service), leadership.nowNs()));
  }

  private double maxPauseMs(ServiceId service) {
    Optional<ServingPlan> plan =
        leadership.context().stateMachine().state().plan().map(InstalledPlan::plan);
    long planVersion = plan.map(ServingPlan::version).orElse(ClusterState.NO_PLAN);
    if (planVersion != knownPlanVersion) {
      knownPlanVersion = planVersion;
      maxPauseByServiceMs.clear();
    }
    return maxPauseByServiceMs.computeIfAbsent(service, key -> maxPauseMs(plan, key));
  }

  private static double maxPauseMs(Optional<ServingPlan> plan, ServiceId service) {
    return plan.stream()
        .flatMap(known -> known.routes().stream())
        .filter(route -> leadsTo(route, service))
        .mapToDouble(PlanRoute::eventGapMs)
        .filter(gapMs -> gapMs > 0)
        .min()
        .orElse(Double.POSITIVE_INFINITY);
  }

  private static boolean leadsTo(PlanRoute route, ServiceId service) {
    return route.targets().stream()
        .anyMatch(target -> target.weight() > 0 && target.service().equals(service));
  }

  private void refresh() {
    if (registry().revision() != knownRevision) {
      knownRevision = registry().revision();
      Set<UpstreamIncarnation> present =
          registry().present().stream()
              .map(Registration::upstreamIncarnation)
              .collect(Collectors.toSet());
      conditions.retain(present);
    }
  }

  private UpstreamRegistry registry() {
    return leadership.context().stateMachine().state().registry();
  }
}
