package org.teaseltrail.control;

import java.util.Comparator;
import org.teaseltrail.api.v1.Configuration;
import org.teaseltrail.api.v1.Customer;
import org.teaseltrail.api.v1.ModelTarget;
import org.teaseltrail.api.v1.Pool;
import org.teaseltrail.api.v1.Route;
import org.teaseltrail.api.v1.ServiceTarget;
import org.teaseltrail.api.v1.Tier;
import org.teaseltrail.api.v1.Upstream;
import org.teaseltrail.core.configuration.AllowedUpstream;
import org.teaseltrail.core.configuration.RouteTarget;
import org.teaseltrail.core.configuration.TierDefinition;

/**
 * Converts the configuration to a protobuf message of the operator API, with each list sorted by
 * id.
 */
final class ConfigurationConverter {

  private ConfigurationConverter() {}

  static Configuration toProto(org.teaseltrail.core.configuration.Configuration configuration) {
    Configuration.Builder written =
        Configuration.newBuilder().setRevision(configuration.revision().value());
    configuration.tiers().values().stream()
        .sorted(Comparator.comparing(TierDefinition::tier))
        .forEach(tier -> written.addTiers(tier(tier)));
    configuration.customers().values().stream()
        .sorted(Comparator.comparing(customer -> customer.id().value()))
        .forEach(customer -> written.addCustomers(customer(customer)));
    configuration.pools().values().stream()
        .sorted(Comparator.comparing(pool -> pool.id().value()))
        .forEach(pool -> written.addPools(pool(pool)));
    configuration.routes().values().stream()
        .sorted(Comparator.comparing(route -> route.id().value()))
        .forEach(route -> written.addRoutes(route(route)));
    configuration.upstreams().values().stream()
        .sorted(Comparator.comparing(upstream -> upstream.id().value()))
        .forEach(upstream -> written.addUpstreams(upstream(upstream)));
    return written.build();
  }

  private static Tier tier(TierDefinition tier) {
    return Tier.newBuilder().setRank(tier.tier().rank()).setName(tier.name()).build();
  }

  private static Customer customer(org.teaseltrail.core.configuration.Customer customer) {
    return Customer.newBuilder()
        .setId(customer.id().value())
        .setTier(customer.tier().rank())
        .addAllKeyHashes(customer.keyHashes())
        .setRateRequestsPerSecond(customer.rateRequestsPerSecond())
        .setBurstRequests(customer.burstRequests())
        .setWeight(customer.weight())
        .build();
  }

  private static Pool pool(org.teaseltrail.core.configuration.Pool pool) {
    return Pool.newBuilder()
        .setId(pool.id().value())
        .setMaxWaitingMs(pool.maxWaitingMs())
        .setTargetCopies(pool.targetCopies())
        .build();
  }

  private static Route route(org.teaseltrail.core.configuration.Route route) {
    Route.Builder written =
        Route.newBuilder().setId(route.id().value()).setPool(route.pool().value());
    if (route.target() instanceof RouteTarget.ModelTarget model) {
      written.setModel(model(model));
    } else if (route.target() instanceof RouteTarget.ServiceTarget service) {
      written.setService(
          ServiceTarget.newBuilder()
              .setService(service.service().value())
              .addAllNonIdempotentMethods(service.nonIdempotentMethods()));
    }
    return written.build();
  }

  private static ModelTarget model(RouteTarget.ModelTarget model) {
    ModelTarget.Builder written =
        ModelTarget.newBuilder()
            .setModel(model.model().value())
            .setVersion(model.version().value());
    model.adapter().ifPresent(adapter -> written.setAdapter(adapter.value()));
    return written.build();
  }

  private static Upstream upstream(AllowedUpstream upstream) {
    return Upstream.newBuilder()
        .setId(upstream.id().value())
        .setPool(upstream.pool().value())
        .setSecretHash(upstream.secretHash())
        .setDraining(upstream.draining())
        .setHonoursFencing(upstream.honoursFencing())
        .build();
  }
}
