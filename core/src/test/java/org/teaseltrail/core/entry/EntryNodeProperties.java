package org.teaseltrail.core.entry;

import java.util.Random;
import net.jqwik.api.ForAll;
import net.jqwik.api.Property;
import net.jqwik.api.ShrinkingMode;
import net.jqwik.api.Tag;

class EntryNodeProperties {

  private static final int STEPS = 250;

  // Requests, grants, frames and welcomes are delayed, duplicated, reordered or lost, while the
  // leader changes, connections break, upstreams leave and callers disconnect.
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
