package org.teaseltrail.core.control;

import static org.assertj.core.api.Assertions.assertThat;

import java.util.ArrayList;
import java.util.List;
import java.util.SplittableRandom;
import net.jqwik.api.ForAll;
import net.jqwik.api.Property;
import net.jqwik.api.Tag;

/**
 * Sends requests with idempotency keys to three VMs and three members that fail at random: kills,
 * pauses, partitions and VMs that lose their state. No key may run twice, and the group must serve
 * again after the faults. The members check their own invariants throughout.
 */
class ControlFaultProperties {

  private static final int STEPS = 60;
  private static final int KEYS = 12;

  private final List<DispatchingEntryVm> vms = new ArrayList<>();

  @Property(seed = "51", tries = 12)
  void noKeyRunsTwice(@ForAll long seed) {
    run(new SplittableRandom(seed));
  }

  /** Runs with a fresh seed each time; jqwik prints the seed of a failure. */
  @Tag("long-run")
  @Property(tries = 2_000)
  void noKeyRunsTwiceWithFreshSeeds(@ForAll long seed) {
    run(new SplittableRandom(seed));
  }

  private void run(SplittableRandom random) {
    FakeControlGroup group = new FakeControlGroup(3).start();
    group.change(group.leader(), "fleet", 0, Samples.fleet(0, "u1"));
    DispatchRecorder history = new DispatchRecorder();
    vms.clear();
    for (int i = 1; i <= 3; i++) {
      vms.add(new DispatchingEntryVm(group, history, "e" + i));
    }
    group.run(1_000);
    for (int step = 0; step < STEPS; step++) {
      int key = random.nextInt(KEYS);
      vms.get(random.nextInt(3)).call("r" + step, "k" + key);
      if (random.nextInt(4) == 0) {
        injectFault(group, random);
      }
      group.run(random.nextInt(400));
    }
    recover(group);
    int before = history.count();
    vms.get(0).call("last", "k-last");
    // Requests of VMs that lost their state occupy the engine's slots until they count as lost.
    group.run(45_000);
    assertThat(history.count()).as("a new key is served after the faults").isGreaterThan(before);
  }

  private void injectFault(FakeControlGroup group, SplittableRandom random) {
    FakeControlMember member = group.members().get(random.nextInt(3));
    switch (random.nextInt(6)) {
      case 0 -> {
        member.kill();
        group.after(random.nextLong(2_000_000_000L), () -> group.restart(member));
      }
      case 1 -> {
        member.pause();
        group.after(random.nextLong(4_000_000_000L), member::resume);
      }
      case 2 -> {
        member.setPartitioned(true);
        group.after(random.nextLong(4_000_000_000L), () -> member.setPartitioned(false));
      }
      case 3 -> vms.get(random.nextInt(3)).restart();
      default -> {}
    }
  }

  private static void recover(FakeControlGroup group) {
    group.run(5_000);
    for (FakeControlMember member : group.members()) {
      member.setPartitioned(false);
      member.resume();
    }
    group.run(5_000);
  }
}
