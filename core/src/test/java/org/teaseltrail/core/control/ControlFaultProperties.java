package org.teaseltrail.core.control;

import static org.assertj.core.api.Assertions.assertThat;

import java.util.ArrayList;
import java.util.List;
import java.util.SplittableRandom;
import net.jqwik.api.ForAll;
import net.jqwik.api.Property;
import net.jqwik.api.Tag;

/**
 * Runs calls with keys over three members and three VMs while all of them fail at random: kills,
 * freezes, cuts and VMs that lose their memory. No key may run twice, and afterwards the group must
 * serve again. The members' own invariants are asserted all along.
 */
class ControlFaultProperties {

  private static final int STEPS = 60;
  private static final int KEYS = 12;

  private final List<RunningVm> vms = new ArrayList<>();

  @Property(seed = "51", tries = 12)
  void noKeyRunsTwice(@ForAll long seed) {
    run(new SplittableRandom(seed));
  }

  /** Takes a fresh seed each time; jqwik prints the one that failed. */
  @Tag("long-run")
  @Property(tries = 2_000)
  void noKeyRunsTwiceForLong(@ForAll long seed) {
    run(new SplittableRandom(seed));
  }

  private void run(SplittableRandom random) {
    FakeControlGroup group = new FakeControlGroup(3).start();
    group.change(group.leader(), "fleet", 0, Samples.fleet(0, "u1"));
    RunHistory history = new RunHistory();
    vms.clear();
    for (int i = 1; i <= 3; i++) {
      vms.add(new RunningVm(group, history, "e" + i));
    }
    group.run(1_000);
    for (int step = 0; step < STEPS; step++) {
      int key = random.nextInt(KEYS);
      vms.get(random.nextInt(3)).call("r" + step, "k" + key);
      if (random.nextInt(4) == 0) {
        fail(group, random);
      }
      group.run(random.nextInt(400));
    }
    recover(group);
    int before = history.count();
    vms.get(0).call("last", "k-last");
    // Work of VMs that lost their memory fills the engine's account until it is given up for lost.
    group.run(45_000);
    assertThat(history.count()).as("a new key is served after all").isGreaterThan(before);
  }

  private void fail(FakeControlGroup group, SplittableRandom random) {
    FakeControl member = group.members().get(random.nextInt(3));
    switch (random.nextInt(6)) {
      case 0 -> {
        member.kill();
        group.after(random.nextLong(2_000_000_000L), () -> group.restart(member));
      }
      case 1 -> {
        member.freeze();
        group.after(random.nextLong(4_000_000_000L), member::thaw);
      }
      case 2 -> {
        member.cut(true);
        group.after(random.nextLong(4_000_000_000L), () -> member.cut(false));
      }
      case 3 -> vms.get(random.nextInt(3)).restart();
      default -> {}
    }
  }

  private static void recover(FakeControlGroup group) {
    group.run(5_000);
    for (FakeControl member : group.members()) {
      member.cut(false);
      member.thaw();
    }
    group.run(5_000);
  }
}
