package org.teaseltrail.core.control;

import static org.assertj.core.api.Assertions.assertThat;

import java.util.ArrayList;
import java.util.List;
import java.util.Optional;
import java.util.SplittableRandom;
import net.jqwik.api.ForAll;
import net.jqwik.api.Property;
import net.jqwik.api.ShrinkingMode;
import net.jqwik.api.Tag;
import org.teaseltrail.core.plan.InstalledPlan;
import org.teaseltrail.core.plan.TestPlans;

/**
 * Guards against a group that has no quorum for good, or that has lost an acknowledged plan, after
 * members lost their disks: any, the leader and new members included, again and again, but never
 * more than two VMs at once.
 */
class DiskLossProperties {

  private static final int MEMBERS = 5;
  private static final int MAX_LOST = 2;
  private static final int LOSSES = 12;

  /** Time after its return for which a VM still counts as lost. */
  private static final long CATCH_UP_MS = 4_000;

  private static final long RECOVERY_MS = 12_000;

  /** One VM: its present member, if it is up, and until when it counts as lost. */
  private static final class Vm {
    private final String name;
    private FakeControlMember member;
    private long lostUntilMs;
    private int lives;

    Vm(FakeControlMember member) {
      this.name = member.member().vm().value();
      this.member = member;
    }
  }

  private final FakeControlGroup group = new FakeControlGroup(3);
  private final List<Vm> vms = new ArrayList<>();
  private final List<Long> calls = new ArrayList<>();
  private SplittableRandom random;
  private long version;

  @Property(seed = "60", tries = 60, shrinking = ShrinkingMode.OFF)
  void groupBearsAnyLossesOfTwoDisks(@ForAll long seed) {
    new DiskLossProperties().run(seed);
  }

  /** Runs with a fresh seed each time; jqwik prints the seed of a failure. */
  @Tag("long-run")
  @Property(tries = 2_000, shrinking = ShrinkingMode.OFF)
  void groupBearsAnyLossesOfTwoDisksWithFreshSeeds(@ForAll long seed) {
    new DiskLossProperties().run(seed);
  }

  private void run(long seed) {
    random = new SplittableRandom(seed);
    startMembers();
    for (int i = 0; i < LOSSES; i++) {
      changeFor(random.nextInt(10, 2_500));
      selectVmToLose().ifPresent(this::loseDisk);
    }
    changeFor(RECOVERY_MS);
    long acknowledged = newestAcknowledged();
    assertThat(acknowledged).as("plans are acknowledged again").isGreaterThan(version - 10);
    assertThat(readVersion()).isGreaterThanOrEqualTo(acknowledged);
    assertThat(group.leader().control().membership().voters()).hasSize(MEMBERS);
  }

  private void startMembers() {
    group.useRepair(MAX_LOST);
    group.start();
    group.join("c4", "control-4");
    group.join("c5", "control-5");
    group.run(CATCH_UP_MS);
    group.members().forEach(member -> vms.add(new Vm(member)));
  }

  /** Selects a VM; one that still counts as lost may be lost again at any time. */
  private Optional<Vm> selectVmToLose() {
    List<Vm> lost = vms.stream().filter(vm -> vm.lostUntilMs > nowMs()).toList();
    List<Vm> selectable = (lost.size() < MAX_LOST ? vms : lost);
    Vm selected = selectable.get(random.nextInt(selectable.size()));
    return Optional.of(selected).filter(vm -> vm.member != null);
  }

  private void loseDisk(Vm vm) {
    long downMs = random.nextInt(300, 1_500);
    vm.member.kill();
    vm.member = null;
    vm.lostUntilMs = nowMs() + downMs + CATCH_UP_MS;
    group.after(
        downMs * 1_000_000L,
        () -> {
          vm.lives++;
          vm.member = group.join(vm.name + "-life-" + vm.lives, vm.name);
        });
  }

  /** Installs a plan every 50 ms at the leader, if there is one. */
  private void changeFor(long ms) {
    for (long endMs = nowMs() + ms; nowMs() < endMs; ) {
      group.members().stream()
          .filter(FakeControlMember::isServing)
          .findFirst()
          .ifPresent(this::installNext);
      group.run(50);
    }
  }

  private void installNext(FakeControlMember leader) {
    version++;
    InstalledPlan next = new InstalledPlan(TestPlans.plan(version), "text of " + version);
    calls.add(group.call(leader, new OperatorRequest.InstallPlan(next), 0));
  }

  private long newestAcknowledged() {
    for (int i = calls.size() - 1; i >= 0; i--) {
      if (group.reply(calls.get(i)) instanceof OperatorResult.PlatformRequestCompleted) {
        return i + 1L;
      }
    }
    return 0;
  }

  private long readVersion() {
    OperatorResult result = group.call(group.leader(), new OperatorRequest.ReadPlan());
    return ((OperatorResult.PlanRead) result).installed().orElseThrow().plan().version();
  }

  private long nowMs() {
    return group.nowNs() / 1_000_000L;
  }
}
