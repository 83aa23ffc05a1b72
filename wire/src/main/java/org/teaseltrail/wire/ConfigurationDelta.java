package org.teaseltrail.wire;

import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.function.Function;
import org.teaseltrail.core.configuration.Configuration;
import org.teaseltrail.core.configuration.ConfigurationChange;
import org.teaseltrail.core.configuration.ConfigurationEditor;
import org.teaseltrail.core.configuration.ConfigurationResult;
import org.teaseltrail.core.id.FencingNumber;
import org.teaseltrail.core.id.Revision;

/**
 * Delta of a configuration to the one sent before on the same connection.
 *
 * @param fencing fencing number of the leader that confirmed the configuration
 * @param base revision of the configuration that the delta applies to
 * @param revision revision of the resulting configuration
 * @param items the changes between them
 */
record ConfigurationDelta(
    FencingNumber fencing, Revision base, Revision revision, List<ConfigurationChange> items) {

  /** Copies the items. */
  ConfigurationDelta {
    items = List.copyOf(items);
  }

  static ConfigurationDelta between(FencingNumber fencing, Configuration from, Configuration to) {
    List<ConfigurationChange> items = new ArrayList<>();
    collectChanges(
        from.tiers(),
        to.tiers(),
        ConfigurationChange.PutTier::new,
        ConfigurationChange.RemoveTier::new,
        items);
    collectChanges(
        from.pools(),
        to.pools(),
        ConfigurationChange.PutPool::new,
        ConfigurationChange.RemovePool::new,
        items);
    collectChanges(
        from.customers(),
        to.customers(),
        ConfigurationChange.PutCustomer::new,
        ConfigurationChange.RemoveCustomer::new,
        items);
    collectChanges(
        from.routes(),
        to.routes(),
        ConfigurationChange.PutRoute::new,
        ConfigurationChange.RemoveRoute::new,
        items);
    collectChanges(
        from.upstreams(),
        to.upstreams(),
        ConfigurationChange.PutUpstream::new,
        ConfigurationChange.RemoveUpstream::new,
        items);
    return new ConfigurationDelta(fencing, from.revision(), to.revision(), items);
  }

  /**
   * Returns the configuration that results from applying this delta.
   *
   * @throws MalformedMessageException if the given configuration is not the base of this delta
   */
  Configuration applyTo(Configuration from) {
    if (!from.revision().equals(base)) {
      throw new MalformedMessageException(
          ConfigurationDelta.class, "delta has a different base revision");
    }
    Configuration content = items.isEmpty() ? from : applyChanges(from);
    return new Configuration(
        revision,
        content.tiers(),
        content.customers(),
        content.pools(),
        content.routes(),
        content.upstreams());
  }

  private Configuration applyChanges(Configuration from) {
    ConfigurationResult result = ConfigurationEditor.apply(from, items);
    if (result instanceof ConfigurationResult.Changed changed) {
      return changed.configuration();
    }
    throw new MalformedMessageException(ConfigurationDelta.class, result.toString());
  }

  private static <K, V> void collectChanges(
      Map<K, V> from,
      Map<K, V> to,
      Function<V, ConfigurationChange> put,
      Function<K, ConfigurationChange> remove,
      List<ConfigurationChange> items) {
    to.forEach(
        (id, value) -> {
          if (!value.equals(from.get(id))) {
            items.add(put.apply(value));
          }
        });
    from.keySet().stream().filter(id -> !to.containsKey(id)).map(remove).forEach(items::add);
  }
}
