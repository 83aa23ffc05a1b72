package org.teaseltrail.core.replication;

import static org.assertj.core.api.Assertions.assertThat;

import java.util.ArrayList;
import java.util.List;
import java.util.SplittableRandom;
import org.junit.jupiter.api.Test;
import org.teaseltrail.core.id.MemberId;
import org.teaseltrail.core.id.VmId;

class SingleMemberTest {

  private static final long SECOND_NS = 1_000_000_000L;

  private final MemberId self = new MemberId("c1-0");
  private final Replica replica =
      new Replica(
          new GroupId("group"),
          self,
          ReplicaSettings.defaults(),
          RecoveredState.newGroup(new Member(self, new VmId("c1"))),
          new SplittableRandom(1),
          0);

  @Test
  void electsItselfAndCommits() {
    run(new ReplicaEvent.Tick(), SECOND_NS);
    assertThat(replica.leader()).contains(self);
    assertThat(replica.leaseHolds(SECOND_NS)).isTrue();
    List<ReplicaAction> actions =
        run(new ReplicaEvent.Propose(7, new byte[] {1, 2}), 2 * SECOND_NS);
    assertThat(actions).contains(new ReplicaAction.ProposalAppended(7, 3, 1));
    LogEntry committed = new LogEntry(3, 1, new EntryPayload.CommandPayload(new byte[] {1, 2}));
    assertThat(actions).contains(new ReplicaAction.Apply(List.of(committed)));
  }

  private List<ReplicaAction> run(ReplicaEvent event, long nowNs) {
    List<ReplicaAction> all = new ArrayList<>();
    List<ReplicaAction> actions = replica.handle(event, nowNs);
    while (!actions.isEmpty()) {
      all.addAll(actions);
      long written = 0;
      for (ReplicaAction action : actions) {
        written = action instanceof ReplicaAction.Write write ? write.writeNumber() : written;
      }
      actions =
          written == 0 ? List.of() : replica.handle(new ReplicaEvent.Persisted(written), nowNs);
    }
    return all;
  }
}
