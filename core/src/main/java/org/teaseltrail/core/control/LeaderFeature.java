package org.teaseltrail.core.control;

import org.teaseltrail.core.contention.FeatureMode;
import org.teaseltrail.core.contention.FeatureScope;
import org.teaseltrail.core.id.ServiceId;
import org.teaseltrail.core.registry.UpstreamRegistry;

/** Whether a feature applies to a service, by the registrations that the leader has committed. */
final class LeaderFeature {

  private final FeatureScope scope;
  private final Leadership leadership;

  LeaderFeature(FeatureMode mode, Leadership leadership) {
    scope = new FeatureScope(mode);
    this.leadership = leadership;
  }

  /** Returns whether the feature applies to no service. */
  boolean isOff() {
    return scope.isOff();
  }

  /** Returns whether the feature applies to a service. */
  boolean appliesTo(ServiceId service) {
    UpstreamRegistry registry = leadership.context().stateMachine().state().registry();
    return scope.appliesTo(
        service,
        registry.revision(),
        key ->
            registry.present().stream()
                .filter(upstream -> upstream.service().equals(key))
                .toList());
  }
}
