package org.teaseltrail.load.policy;

import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import org.teaseltrail.core.configuration.AllowedUpstream;
import org.teaseltrail.core.configuration.Configuration;
import org.teaseltrail.core.configuration.Customer;
import org.teaseltrail.core.configuration.Pool;
import org.teaseltrail.core.configuration.Route;
import org.teaseltrail.core.configuration.RouteTarget;
import org.teaseltrail.core.configuration.TierDefinition;
import org.teaseltrail.core.id.CustomerId;
import org.teaseltrail.core.id.Revision;
import org.teaseltrail.core.id.RouteId;
import org.teaseltrail.core.id.Tier;
import org.teaseltrail.core.id.UpstreamId;
import org.teaseltrail.load.workload.CustomerSpec;
import org.teaseltrail.load.workload.Deployment;
import org.teaseltrail.load.workload.EngineSpec;

/** Creates the scheduler's configuration for the engine pool of a deployment. */
final class PoolConfigurationFactory {

  /** Maximum backlog, in milliseconds of the pool's processing time. */
  private static final long MAX_WAITING_MS = 30_000;

  private PoolConfigurationFactory() {}

  static Configuration create(Deployment deployment) {
    Map<Tier, TierDefinition> tiers = new HashMap<>();
    deployment.tiers().forEach(t -> tiers.put(t, new TierDefinition(t, t.toString())));
    RouteId route = new RouteId(deployment.pool().value());
    RouteTarget target =
        new RouteTarget.ModelTarget(deployment.model(), deployment.version(), Optional.empty());
    return new Configuration(
        new Revision(1),
        tiers,
        customers(deployment),
        Map.of(deployment.pool(), new Pool(deployment.pool(), MAX_WAITING_MS, 0)),
        Map.of(route, new Route(route, target, deployment.pool())),
        upstreams(deployment));
  }

  private static Map<CustomerId, Customer> customers(Deployment deployment) {
    Map<CustomerId, Customer> customers = new HashMap<>();
    for (CustomerSpec spec : deployment.customers()) {
      customers.put(
          spec.id(), new Customer(spec.id(), spec.tier(), List.of(), 0, 0, spec.weight()));
    }
    return customers;
  }

  private static Map<UpstreamId, AllowedUpstream> upstreams(Deployment deployment) {
    Map<UpstreamId, AllowedUpstream> upstreams = new HashMap<>();
    for (EngineSpec spec : deployment.engines()) {
      upstreams.put(spec.id(), new AllowedUpstream(spec.id(), deployment.pool(), "", false, true));
    }
    return upstreams;
  }
}
