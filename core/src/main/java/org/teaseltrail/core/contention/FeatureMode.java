package org.teaseltrail.core.contention;

import java.util.Collection;
import org.teaseltrail.core.registry.Registration;

/** Whether a feature applies to a service. */
public enum FeatureMode {

  /** The feature applies to no service. */
  OFF {
    @Override
    public boolean appliesTo(Collection<Registration> upstreams) {
      return false;
    }
  },

  /**
   * The feature applies to services all of whose upstreams report their start times. What these
   * features account for belongs to one incarnation of an upstream; if an upstream restarts under
   * its id and can't be told from the incarnation before, slots of that one would be counted.
   */
  AUTO {
    @Override
    public boolean appliesTo(Collection<Registration> upstreams) {
      return !upstreams.isEmpty() && upstreams.stream().allMatch(Registration::reportsStartTime);
    }
  },

  /** The feature applies to all services. */
  ON {
    @Override
    public boolean appliesTo(Collection<Registration> upstreams) {
      return true;
    }
  };

  /**
   * Returns whether the feature applies to a service.
   *
   * @param upstreams the service's registered upstreams
   * @return true if it applies
   */
  public abstract boolean appliesTo(Collection<Registration> upstreams);
}
