package org.teaseltrail.core.configuration;

import java.util.HashMap;
import java.util.Map;
import java.util.Optional;
import org.teaseltrail.core.configuration.ConfigurationFailure.Duplicate;
import org.teaseltrail.core.configuration.ConfigurationFailure.InUse;
import org.teaseltrail.core.configuration.ConfigurationFailure.MissingReference;
import org.teaseltrail.core.id.PoolId;

/** Validates the references between the entities of a configuration. */
final class ReferenceValidator {

  private final Configuration before;
  private final Configuration after;

  private ReferenceValidator(Configuration before, Configuration after) {
    this.before = before;
    this.after = after;
  }

  /** Returns the first rule that the configuration violates, which is the same on every member. */
  static Optional<ConfigurationFailure> firstFailure(Configuration before, Configuration after) {
    ReferenceValidator validator = new ReferenceValidator(before, after);
    return validator
        .validateCustomers()
        .or(validator::validateRoutes)
        .or(validator::validateUpstreams);
  }

  private Optional<ConfigurationFailure> validateCustomers() {
    Map<String, Customer> byKey = new HashMap<>();
    for (Customer customer : IdSorter.sorted(after.customers()).values()) {
      if (!after.tiers().containsKey(customer.tier())) {
        boolean existed = before.tiers().containsKey(customer.tier());
        return missingReference(
            EntityRef.of(customer.id()), EntityRef.of(customer.tier()), existed);
      }
      for (String hash : customer.keyHashes()) {
        Customer other = byKey.putIfAbsent(hash, customer);
        if (other != null) {
          return duplicate(EntityRef.of(other.id()), EntityRef.of(customer.id()));
        }
      }
    }
    return Optional.empty();
  }

  private Optional<ConfigurationFailure> validateRoutes() {
    Map<Object, Route> byTarget = new HashMap<>();
    for (Route route : IdSorter.sorted(after.routes()).values()) {
      Optional<ConfigurationFailure> failure = validatePool(EntityRef.of(route.id()), route.pool());
      if (failure.isPresent()) {
        return failure;
      }
      Route other = byTarget.putIfAbsent(identity(route.target()), route);
      if (other != null) {
        return duplicate(EntityRef.of(other.id()), EntityRef.of(route.id()));
      }
    }
    return Optional.empty();
  }

  private Optional<ConfigurationFailure> validateUpstreams() {
    for (AllowedUpstream upstream : IdSorter.sorted(after.upstreams()).values()) {
      Optional<ConfigurationFailure> failure =
          validatePool(EntityRef.of(upstream.id()), upstream.pool());
      if (failure.isPresent()) {
        return failure;
      }
    }
    return Optional.empty();
  }

  private Optional<ConfigurationFailure> validatePool(EntityRef from, PoolId pool) {
    if (after.pools().containsKey(pool)) {
      return Optional.empty();
    }
    return missingReference(from, EntityRef.of(pool), before.pools().containsKey(pool));
  }

  private static Object identity(RouteTarget target) {
    if (target instanceof RouteTarget.ServiceTarget service) {
      return service.service();
    }
    return target;
  }

  private static Optional<ConfigurationFailure> missingReference(
      EntityRef from, EntityRef missing, boolean existed) {
    return Optional.of(existed ? new InUse(missing, from) : new MissingReference(from, missing));
  }

  private static Optional<ConfigurationFailure> duplicate(EntityRef entity, EntityRef other) {
    return Optional.of(new Duplicate(entity, other));
  }
}
