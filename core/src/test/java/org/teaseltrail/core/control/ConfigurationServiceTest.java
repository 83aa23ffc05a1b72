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
import org.teaseltrail.core.state.ChangeResult;

/** Proves what operators and entry VMs see of configuration changes while members fail. */
class ConfigurationServiceTest {

  private static OperatorResult accepted(long revision) {
    return new OperatorResult.Changed(new ChangeResult.Accepted(new Revision(revision)));
  }

  private static ReplicaSettings snapshotEvery(int entries) {
    return new ReplicaSettings(
        50, 500, 50, 600, 900, 512, 512 * 1024, 16, 16 * 1024 * 1024, 256 * 1024, entries, 5);
  }

  /**
   * Two operators read revision 1 and each sends a change that expects it. The second would
   * overwrite the first unseen; it must learn of revision 2 and nothing of it may be applied.
   */
  @Test
  void ofTwoChangesWithEqualRevisionsOneWins() {
    FakeControlGroup group = new FakeControlGroup(3).start();
    FakeControl leader = group.leader();
    assertThat(group.change(leader, "a", 0, Samples.tier(1))).isEqualTo(accepted(1));

    assertThat(group.change(leader, "b", 1, Samples.tier(2))).isEqualTo(accepted(2));
    assertThat(group.change(leader, "c", 1, Samples.tier(3)))
        .isEqualTo(new OperatorResult.Changed(new ChangeResult.RevisionConflict(new Revision(2))));
    assertThat(leader.control().configuration().tiers()).containsOnlyKeys(new Tier(1), new Tier(2));
  }

  /**
   * The answer to a change is lost and the operator sends it again, while another operator has
   * changed the same tier. Applied twice, the resend would undo the other's change.
   */
  @Test
  void resendToTheSameLeaderReturnsTheFirstResult() {
    FakeControlGroup group = new FakeControlGroup(3).start();
    FakeControl leader = group.leader();
    group.loseReplies(true);
    assertThat(group.change(leader, "a", 0, Samples.tier(1))).isNull();
    group.loseReplies(false);
    group.change(leader, "b", 1, Samples.tier(2));

    assertThat(group.change(leader, "a", 0, Samples.tier(1))).isEqualTo(accepted(1));
    assertThat(leader.control().configuration().revision()).isEqualTo(new Revision(2));
  }

  /**
   * The leader commits a change and is killed before it answers. The operator sends the change to
   * the new leader, which knows it from the log, and again after all members were killed, when the
   * log's beginning is gone and only a snapshot can tell.
   */
  @Test
  void resendToNewLeaderAndAfterSnapshotReturnsTheFirstResult() {
    FakeControlGroup group = new FakeControlGroup(3, snapshotEvery(20)).start();
    FakeControl first = group.leader();
    group.loseReplies(true);
    group.change(first, "a", 0, Samples.tier(1));
    first.kill();
    group.loseReplies(false);
    FakeControl second = group.leader();
    assertThat(group.change(second, "a", 0, Samples.tier(1))).isEqualTo(accepted(1));

    for (int i = 1; i <= 40; i++) {
      group.change(second, "fill-" + i, i, Samples.customer("c" + i, 1));
    }
    group.run(2_000);
    assertThat(second.disk().hasSnapshot()).isTrue();
    group.members().forEach(FakeControl::kill);
    group.members().forEach(group::restart);
    FakeControl third = group.leader();
    assertThat(group.change(third, "a", 0, Samples.tier(1))).isEqualTo(accepted(1));
    assertThat(group.change(third, "a", 0, Samples.tier(2)))
        .isEqualTo(
            new OperatorResult.Changed(new ChangeResult.ChangeIdConflict(new ChangeId("a"))));
  }

  /**
   * All members are killed after 1,000 changes and start again. Whoever leads must serve the last
   * accepted configuration, though the log's beginning is gone.
   */
  @Test
  void restartAfterThousandChangesServesTheLastConfiguration() {
    FakeControlGroup group = new FakeControlGroup(3, snapshotEvery(100)).start();
    FakeControl leader = group.leader();
    group.change(leader, "tier", 0, Samples.tier(1));
    List<Long> calls = new ArrayList<>();
    for (int i = 1; i <= 1_000; i++) {
      OperatorRequest.Change change =
          new OperatorRequest.Change(
              new ChangeId("n" + i), Optional.empty(), List.of(Samples.customer("c" + i % 50, 1)));
      calls.add(group.ask(leader, change, 0));
      group.run(i % 20 == 0 ? 20 : 0);
    }
    group.run(500);
    assertThat(calls).allSatisfy(call -> assertThat(group.reply(call)).isNotNull());

    group.members().forEach(FakeControl::kill);
    group.run(1_000);
    group.members().forEach(group::restart);
    FakeControl next = group.leader();
    assertThat(next.control().configuration().revision()).isEqualTo(new Revision(1_001));
    assertThat(next.control().configuration().customers()).hasSize(50);
  }

  /**
   * One of two entry VMs falls silent. A change is in force everywhere only once the silent VM's
   * session has run out, for until then it may admit requests under the old configuration.
   */
  @Test
  void isInForceOnlyOnceEachSessionAppliesItOrHasLapsed() {
    FakeControlGroup group = new FakeControlGroup(3).start();
    FakeControl leader = group.leader();
    final FakeEntry one = group.entry("e1");
    FakeEntry two = group.entry("e2");
    group.run(4_000);
    two.silence(true);
    assertThat(group.change(leader, "a", 0, Samples.tier(1))).isEqualTo(accepted(1));
    assertThat(one.applied()).isEqualTo(new Revision(1));
    group.run(600);

    long call = group.ask(leader, new OperatorRequest.AwaitInForce(new Revision(1), 10_000), 2_000);
    assertThat(group.reply(call)).isNull();
    group.run(1_500);
    assertThat(group.reply(call))
        .isEqualTo(new OperatorResult.InForce(new Revision(1), List.of(two.vm())));
  }

  /**
   * An entry VM says hello all the time but hangs over a new configuration. If it stayed welcome it
   * would admit requests under the old one for ever; its session must run out within 4 s.
   */
  @Test
  void vmThatNeverAppliesIsNotWelcomedForEver() {
    FakeControlGroup group = new FakeControlGroup(1).start();
    FakeControl leader = group.leader();
    final FakeEntry entry = group.entry("e1");
    entry.ignoreConfigurations();
    group.run(4_000);
    group.change(leader, "a", 0, Samples.tier(1));
    group.run(1_000);
    entry.forget();
    group.run(10_000);
    assertThat(entry.heard(ControlMessage.Welcome.class)).isEmpty();
    assertThat(group.ask(leader, new OperatorRequest.AwaitInForce(new Revision(1), 0)))
        .isEqualTo(new OperatorResult.InForce(new Revision(1), List.of()));
  }

  /**
   * An entry VM restarts with nothing while the leader is cut off from the others. The cut leader
   * may have missed accepted changes, so the VM must get its configuration from the new one alone.
   */
  @Test
  void restartedVmTakesNoConfigurationFromCutLeader() {
    FakeControlGroup group = new FakeControlGroup(3).start();
    FakeControl old = group.leader();
    final FakeEntry entry = group.entry("e1");
    group.change(old, "a", 0, Samples.tier(1));
    old.cut(true);
    group.run(1_000);
    FakeControl fresh = group.leader();
    assertThat(fresh).isNotSameAs(old);
    assertThat(group.change(fresh, "b", 1, Samples.tier(2))).isEqualTo(accepted(2));
    entry.restart();
    group.run(1_000);
    assertThat(entry.heard(ControlMessage.ConfigurationUpdate.class))
        .isNotEmpty()
        .allMatch(update -> update.configuration().revision().equals(new Revision(2)));
    assertThat(group.change(old, "c", 1, Samples.tier(3)))
        .isInstanceOf(OperatorResult.NotLeader.class);
  }

  /** A tier that a customer still pays for must not vanish under it. */
  @Test
  void refusesToRemoveTierInUse() {
    FakeControlGroup group = new FakeControlGroup(1).start();
    FakeControl leader = group.leader();
    group.change(leader, "a", 0, Samples.tier(1), Samples.customer("x", 1));
    ConfigurationFailure expected =
        new ConfigurationFailure.InUse(
            EntityRef.of(new Tier(1)), EntityRef.of(new CustomerId("x")));
    assertThat(group.change(leader, "b", 1, new ConfigurationChange.RemoveTier(new Tier(1))))
        .isEqualTo(new OperatorResult.Changed(new ChangeResult.Refused(expected)));
  }
}
