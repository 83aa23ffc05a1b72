package org.teaseltrail.core.entry;

import java.util.HashMap;
import java.util.Map;
import java.util.Optional;
import org.teaseltrail.core.configuration.AllowedUpstream;
import org.teaseltrail.core.configuration.Configuration;
import org.teaseltrail.core.configuration.Customer;
import org.teaseltrail.core.configuration.Route;
import org.teaseltrail.core.configuration.RouteTarget;
import org.teaseltrail.core.id.Revision;
import org.teaseltrail.core.id.Tier;
import org.teaseltrail.core.id.UpstreamId;
import org.teaseltrail.core.invariant.Invariant;
import org.teaseltrail.core.invariant.InvariantName;

/** The configuration that an entry VM applies, indexed for the look-ups during admission. */
final class AppliedConfiguration {

  private Configuration configuration = Configuration.empty();
  private boolean confirmed;
  private Map<String, Customer> customersByKeyHash = Map.of();

  /**
   * Applies a configuration if its revision is newer.
   *
   * <p>Updates can arrive late, duplicated or out of order. Only a greater revision is applied,
   * since an older one could serve a removed customer again.
   *
   * @return whether it was applied
   */
  boolean apply(Configuration update) {
    if (confirmed && update.revision().compareTo(configuration.revision()) <= 0) {
      return false;
    }
    Invariant.check(
        update.revision().compareTo(configuration.revision()) >= 0,
        InvariantName.REVISION_NEVER_GOES_BACK);
    configuration = update;
    confirmed = true;
    customersByKeyHash = indexKeys(update);
    return true;
  }

  private static Map<String, Customer> indexKeys(Configuration configuration) {
    Map<String, Customer> index = new HashMap<>();
    for (Customer customer : configuration.customers().values()) {
      customer.keyHashes().forEach(hash -> index.put(hash, customer));
    }
    return index;
  }

  /** Returns whether a configuration has been received since the process started. */
  boolean isConfirmed() {
    return confirmed;
  }

  Revision revision() {
    return configuration.revision();
  }

  Optional<Customer> customer(Optional<String> keyHash) {
    return keyHash.map(customersByKeyHash::get);
  }

  Optional<AllowedUpstream> upstream(UpstreamId id) {
    return Optional.ofNullable(configuration.upstreams().get(id));
  }

  /** Returns the greatest rank of any tier, which is that of the lowest tier. */
  int lowestTierRank() {
    return configuration.tiers().keySet().stream().mapToInt(Tier::rank).max().orElse(1);
  }

  Optional<Route> route(CallTarget target) {
    return configuration.routes().values().stream()
        .filter(route -> matches(route, target))
        .max((a, b) -> a.id().value().compareTo(b.id().value()));
  }

  private static boolean matches(Route route, CallTarget target) {
    if (target instanceof CallTarget.Generation wanted
        && route.target() instanceof RouteTarget.ModelTarget served) {
      return wanted.model().equals(served.model())
          && wanted.adapter().equals(served.adapter())
          && wanted.version().map(served.version()::equals).orElse(true);
    }
    return target instanceof CallTarget.ServiceCall wanted
        && route.target() instanceof RouteTarget.ServiceTarget served
        && wanted.service().equals(served.service());
  }
}
