package org.teaseltrail.core.replication;

import net.jqwik.api.ForAll;
import net.jqwik.api.Property;
import net.jqwik.api.ShrinkingMode;

/**
 * Random faults: processes crash, links fail in one or both directions, members pause, and a second
 * disk is lost right after the replacement of a first. Guards against lost committed changes, two
 * schedulers that grant the same upstream, and a group that has no leader after all faults have
 * ended.
 */
class FaultRunProperties {

  @Property(seed = "4711", tries = 40, shrinking = ShrinkingMode.OFF)
  void staysConsistentUnderFaults(@ForAll long seed) {
    new FaultRun(seed).run(500);
  }
}
