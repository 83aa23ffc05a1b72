package org.teaseltrail.core.control;

import static org.assertj.core.api.Assertions.assertThat;

import java.util.ArrayList;
import java.util.List;
import java.util.Optional;
import org.junit.jupiter.api.Test;
import org.teaseltrail.core.configuration.ConfigurationChange;
import org.teaseltrail.core.configuration.ConfigurationFailure;
import org.teaseltrail.core.configuration.EntityRef;
import org.teaseltrail.core.id.ChangeId;
import org.teaseltrail.core.id.CustomerId;
import org.teaseltrail.core.id.Revision;
import org.teaseltrail.core.id.Tier;
import org.teaseltrail.core.message.ControlMessage;
import org.teaseltrail.core.replication.ReplicaSettings;
import org.teaseltrail.core.replication.SnapshotSettings;
import org.teaseltrail.core.state.ChangeResult;

/**
 * Tests which results operators and entry VMs receive for configuration changes while members fail.
 */
class ConfigurationServiceTest {

  private static OperatorResult accepted(long revision) {
    return new OperatorResult.Changed(new ChangeResult.Accepted(new Revision(revision)));
  }

  private static ReplicaSettings snapshotEvery(int entries) {
    SnapshotSettings usual = SnapshotSettings.defaults();
    return ReplicaSettings.defaults()
        .withSnapshots(new SnapshotSettings(usual.chunkBytes(), entries, usual.intervalBytes(), 5));
  }

  /**
   * Two operators read revision 1 and each sends a change that expects it. The second change would
   * overwrite the first one unnoticed; it must receive a conflict with revision 2, and no part of
   * it may be applied.
   */
  @Test
  void ofTwoChangesWithEqualRevisionsOneWins() {
    FakeControlGroup group = new FakeControlGroup(3).start();
    FakeControlMember leader = group.leader();
    assertThat(group.change(leader, "a", 0, Samples.tier(1))).isEqualTo(accepted(1));

    assertThat(group.change(leader, "b", 1, Samples.tier(2))).isEqualTo(accepted(2));
    assertThat(group.change(leader, "c", 1, Samples.tier(3)))
        .isEqualTo(new OperatorResult.Changed(new ChangeResult.RevisionConflict(new Revision(2))));
    assertThat(leader.control().configuration().tiers()).containsOnlyKeys(new Tier(1), new Tier(2));
  }

  /**
   * The reply to a change is lost and the operator sends the change again after another operator
   * has changed the same tier. If it were applied twice, the resend would undo the other change.
   */
  @Test
  void resendToTheSameLeaderReturnsTheFirstResult() {
    FakeControlGroup group = new FakeControlGroup(3).start();
    FakeControlMember leader = group.leader();
    group.dropReplies(true);
    assertThat(group.change(leader, "a", 0, Samples.tier(1))).isNull();
    group.dropReplies(false);
    group.change(leader, "b", 1, Samples.tier(2));

    assertThat(group.change(leader, "a", 0, Samples.tier(1))).isEqualTo(accepted(1));
    assertThat(leader.control().configuration().revision()).isEqualTo(new Revision(2));
  }

  /**
   * The leader commits a change and is killed before it replies. The operator sends the change to
   * the new leader, which knows it from the log, and again after all members were killed, when the
   * start of the log is discarded and only a snapshot contains the result.
   */
  @Test
  void resendToNewLeaderAndAfterSnapshotReturnsTheFirstResult() {
    FakeControlGroup group = new FakeControlGroup(3, snapshotEvery(20)).start();
    FakeControlMember first = group.leader();
    group.dropReplies(true);
    group.change(first, "a", 0, Samples.tier(1));
    first.kill();
    group.dropReplies(false);
    FakeControlMember second = group.leader();
    assertThat(group.change(second, "a", 0, Samples.tier(1))).isEqualTo(accepted(1));

    for (int i = 1; i <= 40; i++) {
      group.change(second, "fill-" + i, i, Samples.customer("c" + i, 1));
    }
    group.run(2_000);
    assertThat(second.disk().hasSnapshot()).isTrue();
    group.members().forEach(FakeControlMember::kill);
    group.members().forEach(group::restart);
    FakeControlMember third = group.leader();
    assertThat(group.change(third, "a", 0, Samples.tier(1))).isEqualTo(accepted(1));
    assertThat(group.change(third, "a", 0, Samples.tier(2)))
        .isEqualTo(
            new OperatorResult.Changed(new ChangeResult.ChangeIdConflict(new ChangeId("a"))));
  }

  /**
   * All members are killed after 1,000 changes and restarted. The new leader must serve the last
   * accepted configuration although the start of the log is discarded.
   */
  @Test
  void restartAfterThousandChangesServesTheLastConfiguration() {
    FakeControlGroup group = new FakeControlGroup(3, snapshotEvery(100)).start();
    FakeControlMember leader = group.leader();
    group.change(leader, "tier", 0, Samples.tier(1));
    List<Long> calls = new ArrayList<>();
    for (int i = 1; i <= 1_000; i++) {
      OperatorRequest.Change change =
          new OperatorRequest.Change(
              new ChangeId("n" + i), Optional.empty(), List.of(Samples.customer("c" + i % 50, 1)));
      calls.add(group.call(leader, change, 0));
      group.run(i % 20 == 0 ? 20 : 0);
    }
    group.run(500);
    assertThat(calls).allSatisfy(call -> assertThat(group.reply(call)).isNotNull());

    group.members().forEach(FakeControlMember::kill);
    group.run(1_000);
    group.members().forEach(group::restart);
    FakeControlMember next = group.leader();
    assertThat(next.control().configuration().revision()).isEqualTo(new Revision(1_001));
    assertThat(next.control().configuration().customers()).hasSize(50);
  }

  /**
   * One of two entry VMs stops communicating. A change is in force everywhere only after the
   * session of that VM has expired, because it may admit requests under the old configuration until
   * then.
   */
  @Test
  void isInForceOnlyOnceEachSessionAppliesItOrHasExpired() {
    FakeControlGroup group = new FakeControlGroup(3).start();
    FakeControlMember leader = group.leader();
    final RecordingEntryVm vm1 = group.entry("e1");
    RecordingEntryVm vm2 = group.entry("e2");
    group.run(4_000);
    vm2.setDisconnected(true);
    assertThat(group.change(leader, "a", 0, Samples.tier(1))).isEqualTo(accepted(1));
    assertThat(vm1.applied()).isEqualTo(new Revision(1));
    group.run(600);

    long call =
        group.call(leader, new OperatorRequest.AwaitInForce(new Revision(1), 10_000), 2_000);
    assertThat(group.reply(call)).isNull();
    group.run(1_500);
    assertThat(group.reply(call))
        .isEqualTo(new OperatorResult.InForce(new Revision(1), List.of(vm2.vm())));
  }

  /**
   * An entry VM keeps sending Hello messages but hangs while applying a new configuration. If its
   * session were renewed, it would admit requests under the old configuration forever; the session
   * must expire within 4 s.
   */
  @Test
  void sessionOfVmThatNeverAppliesExpires() {
    FakeControlGroup group = new FakeControlGroup(1).start();
    FakeControlMember leader = group.leader();
    final RecordingEntryVm entry = group.entry("e1");
    entry.ignoreConfigurations();
    group.run(4_000);
    group.change(leader, "a", 0, Samples.tier(1));
    group.run(1_000);
    entry.clearReceived();
    group.run(10_000);
    assertThat(entry.heard(ControlMessage.Welcome.class)).isEmpty();
    assertThat(group.call(leader, new OperatorRequest.AwaitInForce(new Revision(1), 0)))
        .isEqualTo(new OperatorResult.InForce(new Revision(1), List.of()));
  }

  /**
   * An entry VM restarts without state while the leader is partitioned from the other members. The
   * partitioned leader may have missed accepted changes, so the VM must accept a configuration only
   * from the new leader.
   */
  @Test
  void restartedVmAcceptsNoConfigurationFromPartitionedLeader() {
    FakeControlGroup group = new FakeControlGroup(3).start();
    FakeControlMember oldLeader = group.leader();
    final RecordingEntryVm entry = group.entry("e1");
    group.change(oldLeader, "a", 0, Samples.tier(1));
    oldLeader.setPartitioned(true);
    group.run(1_000);
    FakeControlMember newLeader = group.leader();
    assertThat(newLeader).isNotSameAs(oldLeader);
    assertThat(group.change(newLeader, "b", 1, Samples.tier(2))).isEqualTo(accepted(2));
    entry.restart();
    group.run(1_000);
    assertThat(entry.heard(ControlMessage.ConfigurationUpdate.class))
        .isNotEmpty()
        .allMatch(update -> update.configuration().revision().equals(new Revision(2)));
    assertThat(group.change(oldLeader, "c", 1, Samples.tier(3)))
        .isInstanceOf(OperatorResult.NotLeader.class);
  }

  /** A tier that a customer still uses must not be removed. */
  @Test
  void refusesToRemoveTierInUse() {
    FakeControlGroup group = new FakeControlGroup(1).start();
    FakeControlMember leader = group.leader();
    group.change(leader, "a", 0, Samples.tier(1), Samples.customer("x", 1));
    ConfigurationFailure expected =
        new ConfigurationFailure.InUse(
            EntityRef.of(new Tier(1)), EntityRef.of(new CustomerId("x")));
    assertThat(group.change(leader, "b", 1, new ConfigurationChange.RemoveTier(new Tier(1))))
        .isEqualTo(new OperatorResult.Changed(new ChangeResult.Refused(expected)));
  }
}
