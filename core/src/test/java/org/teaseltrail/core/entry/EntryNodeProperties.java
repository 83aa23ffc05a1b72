package org.teaseltrail.core.entry;

import java.util.Random;
import net.jqwik.api.ForAll;
import net.jqwik.api.Property;
import net.jqwik.api.ShrinkingMode;
import net.jqwik.api.Tag;

class EntryNodeProperties {

  private static final int STEPS = 250;

  // Requests, grants, frames and welcomes come late, doubled, out of order or not at all, while
  // leaders change, links break, upstreams leave and callers hang up.
  @Property(seed = "4711", tries = 400, shrinking = ShrinkingMode.OFF)
  void callersAreToldTheTruth(@ForAll long seed) {
    new EntryNodeFuzzer(new Random(seed)).run(STEPS);
  }

  @Tag("long-run")
  @Property(tries = 200_000, shrinking = ShrinkingMode.OFF)
  void callersAreToldTheTruthForLong(@ForAll long seed) {
    new EntryNodeFuzzer(new Random(seed)).run(STEPS);
  }
}
