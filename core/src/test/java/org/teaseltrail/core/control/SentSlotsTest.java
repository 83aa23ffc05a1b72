package org.teaseltrail.core.control;

import static org.assertj.core.api.Assertions.assertThat;

import java.util.List;
import java.util.Map;
import org.junit.jupiter.api.Test;
import org.teaseltrail.core.forward.ForwardSamples;
import org.teaseltrail.core.id.VmId;
import org.teaseltrail.core.plan.TestPlans;
import org.teaseltrail.core.registry.Registration;
import org.teaseltrail.core.registry.UpstreamRegistry;

/** Tests which slots count as a VM's own if the leader falls silent. */
class SentSlotsTest {

  private static final long NOW_NS = 1_000_000_000L;
  private static final int VMS = 3;

  private final SlotShareAllocator shares =
      new SlotShareAllocator(service -> true, service -> true, service -> false);

  private int sentWith(int slots) {
    Registration engine = ForwardSamples.upstream("e1", TestPlans.ENGINES, slots);
    UpstreamRegistry registry = new UpstreamRegistry(1, List.of(engine));
    for (int i = 0; i < VMS; i++) {
      shares.heard(new VmId("entry-" + i), Map.of(TestPlans.ENGINES, 1));
    }
    int sent = 0;
    for (int i = 0; i < VMS; i++) {
      VmId vm = new VmId("entry-" + i);
      assertThat(shares.sharesOf(vm, registry, NOW_NS)).isNotEmpty();
      sent += shares.sentTo(vm).getOrDefault(engine.id(), 0);
    }
    return sent;
  }

  @Test
  void dealtSlotsCount() {
    assertThat(sentWith(VMS + 1)).isEqualTo(VMS + 1);
  }

  /** Guards against slots that stay idle because overlapping shares count as owned. */
  @Test
  void overlappingSharesOfTooFewSlotsDontCount() {
    assertThat(sentWith(VMS - 1)).isZero();
  }
}
