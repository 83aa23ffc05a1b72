package org.teaseltrail.core.contention;

import java.util.Collection;
import java.util.HashMap;
import java.util.Map;
import java.util.function.Function;
import org.teaseltrail.core.id.ServiceId;
import org.teaseltrail.core.registry.Registration;

/** The services to which a feature applies, evaluated once for each revision of the registry. */
public final class FeatureScope {

  private final FeatureMode mode;
  private final Map<ServiceId, Boolean> applies = new HashMap<>();
  private long evaluatedRevision = Long.MIN_VALUE;

  /**
   * Creates the scope of a feature.
   *
   * @param mode the feature's setting
   */
  public FeatureScope(FeatureMode mode) {
    this.mode = mode;
  }

  /**
   * Returns whether the feature applies to no service.
   *
   * @return true if it is off
   */
  public boolean isOff() {
    return mode == FeatureMode.OFF;
  }

  /**
   * Returns whether the feature applies to a service.
   *
   * @param service the service
   * @param registryRevision revision of the registrations
   * @param upstreams returns a service's upstreams of that revision
   * @return true if it applies
   */
  public boolean appliesTo(
      ServiceId service,
      long registryRevision,
      Function<ServiceId, Collection<Registration>> upstreams) {
    if (isOff()) {
      return false;
    }
    if (registryRevision != evaluatedRevision) {
      applies.clear();
      evaluatedRevision = registryRevision;
    }
    return applies.computeIfAbsent(service, key -> mode.appliesTo(upstreams.apply(key)));
  }
}
