package org.teaseltrail.core.replication;

import static org.assertj.core.api.Assertions.assertThat;

import java.util.List;
import java.util.Optional;
import org.junit.jupiter.api.Test;
import org.teaseltrail.core.id.MemberId;
import org.teaseltrail.core.id.VmId;

class MembershipHistoryTest {

  private final MembershipHistory history =
      new MembershipHistory(
          new Outbox(FakeGroup.ID, new MemberId("c0")),
          new RecoveredState(Vote.none(), Optional.empty(), List.of()));

  /** Guards against a member whose memory grows with each repair of its group. */
  @Test
  void memberSetsBeforeSnapshotAreForgotten() {
    for (int index = 1; index <= 1_000; index++) {
      history.onAppended(List.of(change(index)));
      if (index % 10 == 0) {
        history.onCompacted(index - 2);
      }
    }
    assertThat(history.size()).isLessThan(12);
    assertThat(history.latest()).isEqualTo(set(1_000));
    assertThat(history.at(998)).isEqualTo(set(998));
    history.onTruncatedFrom(1_000);
    assertThat(history.latest()).isEqualTo(set(999));
  }

  private static LogEntry change(int number) {
    return new LogEntry(number, 1, new EntryPayload.MembershipPayload(set(number)));
  }

  private static Membership set(int number) {
    return Membership.of(new Member(new MemberId("c" + number), new VmId("vm")));
  }
}
