package org.teaseltrail.core.forward;

import org.teaseltrail.core.contention.FeatureMode;
import org.teaseltrail.core.contention.FeatureScope;
import org.teaseltrail.core.id.ServiceId;

/** Whether a feature applies to a service, by the registrations that this VM has. */
final class ServiceFeature {

  private final FeatureScope scope;
  private final UpstreamTracker upstreams;

  ServiceFeature(FeatureMode mode, UpstreamTracker upstreams) {
    scope = new FeatureScope(mode);
    this.upstreams = upstreams;
  }

  /** Returns whether the feature applies to no service. */
  boolean isOff() {
    return scope.isOff();
  }

  /** Returns whether the feature applies to a service. */
  boolean appliesTo(ServiceId service) {
    return scope.appliesTo(
        service,
        upstreams.revision(),
        key -> upstreams.of(key).stream().map(UpstreamState::registration).toList());
  }
}
