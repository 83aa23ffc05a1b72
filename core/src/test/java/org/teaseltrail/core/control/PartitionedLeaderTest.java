package org.teaseltrail.core.control;

import static org.assertj.core.api.Assertions.assertThat;

import java.util.Optional;
import org.junit.jupiter.api.Test;
import org.teaseltrail.core.message.EntryMessage;

/** Tests what a leader does between the end of its lease and its stepping down. */
class PartitionedLeaderTest {

  /**
   * The leader is partitioned while a request waits. Its lease ends, but it steps down only later.
   * Its scheduler's wake-up time has passed, and the scheduler can't run without the lease. If the
   * wake-up were requested again and again, it would occupy a processor, and each buffered tick
   * would take memory.
   */
  @Test
  void wakeupIsNeverInThePastWithoutLease() {
    FakeControlGroup group = new FakeControlGroup(3).start();
    FakeControlMember leader = group.leader();
    RecordingEntryVm entry = group.entry("e1");
    group.change(leader, "fleet", 0, Samples.fleet(0, "u1"));
    group.run(1_000);
    entry.send(leader, new EntryMessage.Offer(Samples.ticket("r1", Optional.empty())));
    group.run(100);
    leader.setPartitioned(true);
    int withoutLease = 0;
    for (int ms = 0; ms < 2_000; ms++) {
      group.run(1);
      boolean leads = leader.control().isLeaseValid(group.nowNs());
      withoutLease += leads ? 0 : 1;
      if (!leads) {
        assertThat(leader.control().nextWakeupNs().getAsLong()).isGreaterThan(group.nowNs());
      }
    }
    assertThat(withoutLease).isPositive();
  }
}
