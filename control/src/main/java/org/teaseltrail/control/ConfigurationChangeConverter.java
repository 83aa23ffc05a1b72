package org.teaseltrail.control;

import java.util.HashSet;
import java.util.List;
import java.util.Optional;
import org.teaseltrail.api.v1.Change;
import org.teaseltrail.core.configuration.AllowedUpstream;
import org.teaseltrail.core.configuration.ConfigurationChange;
import org.teaseltrail.core.configuration.Customer;
import org.teaseltrail.core.configuration.Pool;
import org.teaseltrail.core.configuration.Route;
import org.teaseltrail.core.configuration.RouteTarget;
import org.teaseltrail.core.configuration.TierDefinition;
import org.teaseltrail.core.id.AdapterId;
import org.teaseltrail.core.id.CustomerId;
import org.teaseltrail.core.id.InvalidIdException;
import org.teaseltrail.core.id.ModelId;
import org.teaseltrail.core.id.ModelVersion;
import org.teaseltrail.core.id.PoolId;
import org.teaseltrail.core.id.RouteId;
import org.teaseltrail.core.id.ServiceId;
import org.teaseltrail.core.id.Tier;
import org.teaseltrail.core.id.UpstreamId;

/** Converts the items of a configuration change from protobuf messages of the operator API. */
final class ConfigurationChangeConverter {

  private ConfigurationChangeConverter() {}

  /**
   * Converts one item.
   *
   * @throws InvalidIdException if a required field is missing or holds an invalid id
   */
  static ConfigurationChange fromProto(Change change) {
    return switch (change.getItemCase()) {
      case PUT_TIER -> new ConfigurationChange.PutTier(tier(change.getPutTier()));
      case REMOVE_TIER -> new ConfigurationChange.RemoveTier(new Tier(change.getRemoveTier()));
      case PUT_CUSTOMER -> new ConfigurationChange.PutCustomer(customer(change.getPutCustomer()));
      case REMOVE_CUSTOMER ->
          new ConfigurationChange.RemoveCustomer(new CustomerId(change.getRemoveCustomer()));
      case PUT_POOL -> new ConfigurationChange.PutPool(pool(change.getPutPool()));
      case REMOVE_POOL -> new ConfigurationChange.RemovePool(new PoolId(change.getRemovePool()));
      case PUT_ROUTE -> new ConfigurationChange.PutRoute(route(change.getPutRoute()));
      case REMOVE_ROUTE ->
          new ConfigurationChange.RemoveRoute(new RouteId(change.getRemoveRoute()));
      case PUT_UPSTREAM -> new ConfigurationChange.PutUpstream(upstream(change.getPutUpstream()));
      case REMOVE_UPSTREAM ->
          new ConfigurationChange.RemoveUpstream(new UpstreamId(change.getRemoveUpstream()));
      case SET_DRAINING ->
          new ConfigurationChange.SetDraining(
              new UpstreamId(change.getSetDraining().getUpstream()),
              change.getSetDraining().getDraining());
      case ITEM_NOT_SET -> throw new InvalidIdException("change", "has no item");
    };
  }

  private static TierDefinition tier(org.teaseltrail.api.v1.Tier tier) {
    return new TierDefinition(new Tier(tier.getRank()), tier.getName());
  }

  private static Customer customer(org.teaseltrail.api.v1.Customer customer) {
    return new Customer(
        new CustomerId(customer.getId()),
        new Tier(customer.getTier()),
        List.copyOf(customer.getKeyHashesList()),
        customer.getRateRequestsPerSecond(),
        customer.getBurstRequests(),
        customer.getWeight());
  }

  private static Pool pool(org.teaseltrail.api.v1.Pool pool) {
    return new Pool(new PoolId(pool.getId()), pool.getMaxWaitingMs(), pool.getTargetCopies());
  }

  private static Route route(org.teaseltrail.api.v1.Route route) {
    return new Route(new RouteId(route.getId()), target(route), new PoolId(route.getPool()));
  }

  private static RouteTarget target(org.teaseltrail.api.v1.Route route) {
    return switch (route.getTargetCase()) {
      case MODEL -> model(route.getModel());
      case SERVICE ->
          new RouteTarget.ServiceTarget(
              new ServiceId(route.getService().getService()),
              new HashSet<>(route.getService().getNonIdempotentMethodsList()));
      case TARGET_NOT_SET -> throw new InvalidIdException("route target", "is missing");
    };
  }

  static RouteTarget.ModelTarget model(org.teaseltrail.api.v1.ModelTarget model) {
    Optional<AdapterId> adapter =
        model.hasAdapter() ? Optional.of(new AdapterId(model.getAdapter())) : Optional.empty();
    return new RouteTarget.ModelTarget(
        new ModelId(model.getModel()), new ModelVersion(model.getVersion()), adapter);
  }

  private static AllowedUpstream upstream(org.teaseltrail.api.v1.Upstream upstream) {
    return new AllowedUpstream(
        new UpstreamId(upstream.getId()),
        new PoolId(upstream.getPool()),
        upstream.getSecretHash(),
        upstream.getDraining(),
        upstream.getHonoursFencing());
  }
}
