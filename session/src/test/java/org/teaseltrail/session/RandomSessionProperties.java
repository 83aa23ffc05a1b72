package org.teaseltrail.session;

import net.jqwik.api.ForAll;
import net.jqwik.api.Property;
import net.jqwik.api.ShrinkingMode;

/**
 * Checks the guarantees to callers under random load while VMs, members and engines crash, pause,
 * deregister and are partitioned, and operators submit conflicting changes. Guards against
 * truncated answers, answers of another request, requests that run twice, requests wrongly reported
 * as not run, and a service that doesn't recover.
 */
class RandomSessionProperties {

  @Property(seed = "1847", tries = 5, shrinking = ShrinkingMode.OFF)
  void guaranteesHoldUnderFaults(@ForAll long seed) {
    new RandomSession(seed).run();
  }
}
