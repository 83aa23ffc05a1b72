package org.teaseltrail.core.configuration;

import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.TreeMap;
import org.teaseltrail.core.configuration.ConfigurationChange.PutCustomer;
import org.teaseltrail.core.configuration.ConfigurationChange.PutPool;
import org.teaseltrail.core.configuration.ConfigurationChange.PutRoute;
import org.teaseltrail.core.configuration.ConfigurationChange.PutTier;
import org.teaseltrail.core.configuration.ConfigurationChange.PutUpstream;
import org.teaseltrail.core.configuration.ConfigurationChange.RemoveCustomer;
import org.teaseltrail.core.configuration.ConfigurationChange.RemovePool;
import org.teaseltrail.core.configuration.ConfigurationChange.RemoveRoute;
import org.teaseltrail.core.configuration.ConfigurationChange.RemoveTier;
import org.teaseltrail.core.configuration.ConfigurationChange.RemoveUpstream;
import org.teaseltrail.core.configuration.ConfigurationChange.SetDraining;
import org.teaseltrail.core.configuration.ConfigurationFailure.EmptyChange;
import org.teaseltrail.core.configuration.ConfigurationFailure.InvalidValue;
import org.teaseltrail.core.configuration.ConfigurationFailure.NotFound;
import org.teaseltrail.core.id.CustomerId;
import org.teaseltrail.core.id.PoolId;
import org.teaseltrail.core.id.Revision;
import org.teaseltrail.core.id.RouteId;
import org.teaseltrail.core.id.StringId;
import org.teaseltrail.core.id.Tier;
import org.teaseltrail.core.id.UpstreamId;

/**
 * Applies a change to a configuration atomically. References are validated after the last item, so
 * that the order of the items does not matter.
 */
public final class ConfigurationEditor {

  private final Configuration before;
  private final Map<Tier, TierDefinition> tiers;
  private final Map<CustomerId, Customer> customers;
  private final Map<PoolId, Pool> pools;
  private final Map<RouteId, Route> routes;
  private final Map<UpstreamId, AllowedUpstream> upstreams;

  private ConfigurationEditor(Configuration before) {
    this.before = before;
    tiers = new TreeMap<>(before.tiers());
    customers = byText(before.customers());
    pools = byText(before.pools());
    routes = byText(before.routes());
    upstreams = byText(before.upstreams());
  }

  /**
   * Applies the items of a change.
   *
   * @param before the configuration to change, which is not modified
   * @param items the items of the change
   * @return the configuration at the next revision, or the first rule that the change violates
   */
  public static ConfigurationResult apply(Configuration before, List<ConfigurationChange> items) {
    if (items.isEmpty()) {
      return new ConfigurationResult.Refused(new EmptyChange());
    }
    ConfigurationEditor editor = new ConfigurationEditor(before);
    for (ConfigurationChange item : items) {
      Optional<ConfigurationFailure> failure = editor.applyItem(item);
      if (failure.isPresent()) {
        return new ConfigurationResult.Refused(failure.get());
      }
    }
    return editor.build();
  }

  private ConfigurationResult build() {
    Configuration after =
        new Configuration(
            new Revision(before.revision().value() + 1),
            tiers,
            customers,
            pools,
            routes,
            upstreams);
    Optional<ConfigurationFailure> failure = ReferenceValidator.firstFailure(before, after);
    if (failure.isPresent()) {
      return new ConfigurationResult.Refused(failure.get());
    }
    return new ConfigurationResult.Changed(after);
  }

  private Optional<ConfigurationFailure> applyItem(ConfigurationChange item) {
    if (item instanceof PutTier put) {
      tiers.put(put.tier().tier(), put.tier());
      return invalid(EntityRef.of(put.tier().tier()), ValueValidator.validate(put.tier()));
    }
    if (item instanceof PutCustomer put) {
      customers.put(put.customer().id(), put.customer());
      return invalid(EntityRef.of(put.customer().id()), ValueValidator.validate(put.customer()));
    }
    if (item instanceof PutPool put) {
      pools.put(put.pool().id(), put.pool());
      return invalid(EntityRef.of(put.pool().id()), ValueValidator.validate(put.pool()));
    }
    if (item instanceof PutRoute put) {
      routes.put(put.route().id(), put.route());
      return invalid(EntityRef.of(put.route().id()), ValueValidator.validate(put.route()));
    }
    if (item instanceof PutUpstream put) {
      upstreams.put(put.upstream().id(), put.upstream());
      return invalid(EntityRef.of(put.upstream().id()), ValueValidator.validate(put.upstream()));
    }
    return removeOrDrain(item);
  }

  private Optional<ConfigurationFailure> removeOrDrain(ConfigurationChange item) {
    if (item instanceof RemoveTier remove) {
      return missing(EntityRef.of(remove.tier()), tiers.remove(remove.tier()));
    }
    if (item instanceof RemoveCustomer remove) {
      return missing(EntityRef.of(remove.customer()), customers.remove(remove.customer()));
    }
    if (item instanceof RemovePool remove) {
      return missing(EntityRef.of(remove.pool()), pools.remove(remove.pool()));
    }
    if (item instanceof RemoveRoute remove) {
      return missing(EntityRef.of(remove.route()), routes.remove(remove.route()));
    }
    if (item instanceof RemoveUpstream remove) {
      return missing(EntityRef.of(remove.upstream()), upstreams.remove(remove.upstream()));
    }
    SetDraining drain = (SetDraining) item;
    AllowedUpstream changed =
        upstreams.computeIfPresent(
            drain.upstream(), (id, upstream) -> upstream.withDraining(drain.draining()));
    return missing(EntityRef.of(drain.upstream()), changed);
  }

  private static Optional<ConfigurationFailure> invalid(
      EntityRef entity, Optional<ValueRule> violated) {
    return violated.map(rule -> new InvalidValue(entity, rule));
  }

  private static Optional<ConfigurationFailure> missing(EntityRef entity, Object found) {
    return found == null ? Optional.of(new NotFound(entity)) : Optional.empty();
  }

  private static <K extends StringId, V> Map<K, V> byText(Map<K, V> source) {
    return IdSorter.sorted(source);
  }
}
