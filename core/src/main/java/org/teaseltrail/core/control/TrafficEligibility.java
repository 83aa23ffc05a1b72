package org.teaseltrail.core.control;

import java.util.HashMap;
import java.util.List;
import java.util.Map;
import org.teaseltrail.core.id.ServiceId;
import org.teaseltrail.core.registry.Registration;
import org.teaseltrail.core.rollout.RolloutStore;
import org.teaseltrail.core.rollout.TrafficPolicy;
import org.teaseltrail.core.state.ClusterState;

/**
 * The upstreams that may receive requests, derived from the registrations, the rollouts and the
 * rate limits only when one of these has changed, since each message of an entry VM needs them.
 */
final class TrafficEligibility {

  private final RateLimitCoordinator limits;
  private List<Registration> present = List.of();
  private long rolloutRevision = -1;
  private long limitRevision = -1;
  private List<Registration> eligible = List.of();
  private Map<ServiceId, List<Registration>> grantable = new HashMap<>();

  TrafficEligibility(RateLimitCoordinator limits) {
    this.limits = limits;
  }

  /** Returns the upstreams that may receive any requests at all. */
  List<Registration> eligible(ClusterState state) {
    refresh(state);
    return eligible;
  }

  /** Returns the upstreams of a service whose slots the leader may grant for all requests. */
  List<Registration> grantable(ClusterState state, ServiceId service) {
    refresh(state);
    return grantable.computeIfAbsent(
        service,
        id ->
            present.stream()
                .filter(upstream -> upstream.service().equals(id))
                .filter(upstream -> policyOf(state, upstream) == TrafficPolicy.ALL)
                .filter(upstream -> !limits.isLimited(upstream))
                .toList());
  }

  /** Returns which requests an upstream may receive according to its service's rollout. */
  static TrafficPolicy policyOf(ClusterState state, Registration upstream) {
    return state
        .rollouts()
        .find(upstream.service())
        .map(rollout -> rollout.trafficPolicy(upstream.version()))
        .orElse(TrafficPolicy.ALL);
  }

  /** The registry returns the same list as long as no registration has changed. */
  private void refresh(ClusterState state) {
    RolloutStore rollouts = state.rollouts();
    boolean isCurrent =
        state.registry().present() == present
            && rollouts.revision() == rolloutRevision
            && limits.revision() == limitRevision;
    if (isCurrent) {
      return;
    }
    present = state.registry().present();
    rolloutRevision = rollouts.revision();
    limitRevision = limits.revision();
    eligible =
        present.stream()
            .filter(upstream -> policyOf(state, upstream) != TrafficPolicy.NONE)
            .toList();
    grantable = new HashMap<>();
  }
}
