package org.teaseltrail.core.forward;

import static org.assertj.core.api.Assertions.assertThat;

import java.util.List;
import java.util.Optional;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;
import org.teaseltrail.core.id.UpstreamId;
import org.teaseltrail.core.id.UpstreamVersion;
import org.teaseltrail.core.plan.TestPlans;
import org.teaseltrail.core.registry.Registration;
import org.teaseltrail.core.rollout.CanaryAllowance;
import org.teaseltrail.core.rollout.ExposureCounters;
import org.teaseltrail.core.rollout.Rollout;
import org.teaseltrail.core.rollout.RolloutOrder;
import org.teaseltrail.core.rollout.RolloutPhase;
import org.teaseltrail.core.rollout.RolloutReason;
import org.teaseltrail.core.serving.ServingMessage;
import org.teaseltrail.core.serving.ServingReply;

class ForwardRolloutTest extends ForwardNodeTestBase {

  private static final UpstreamVersion OLD = new UpstreamVersion("v1");
  private static final UpstreamVersion ORDERED = new UpstreamVersion("v2");
  private static final long ORDERED_MS = 7;
  private static final long LENT_FOR_MS = 1_000;
  private static final int PLACES = 20;

  private long revision;

  @BeforeEach
  void order() {
    serveWith(TestPlans.plan(1), version("old", OLD), version("new", ORDERED));
    tell(RolloutPhase.RUNNING);
  }

  private static Registration version(String id, UpstreamVersion version) {
    Registration plain = upstream(id, TestPlans.ENGINES, PLACES);
    return new Registration(
        plain.id(),
        plain.bornMs(),
        plain.service(),
        plain.address(),
        plain.dataCenter(),
        plain.slots(),
        plain.phase(),
        plain.sequence(),
        Optional.of(version),
        0);
  }

  private void tell(RolloutPhase phase) {
    revision++;
    Rollout rollout =
        new Rollout(
            new RolloutOrder(TestPlans.ENGINES, ORDERED, 12_000),
            List.of(OLD),
            ORDERED_MS,
            phase,
            RolloutReason.ORDERED,
            ExposureCounters.NONE);
    node.onControlMessage(new ServingReply.RolloutUpdate(TERM, revision, List.of(rollout)), nowNs);
  }

  /** Lets time pass until the VM asks, and returns the number of its message. */
  private long asked() {
    for (int ms = 0; ms < 1_000; ms++) {
      advanceMs(1);
      Optional<Long> sequence =
          actions.stream()
              .filter(ForwardAction.SendControl.class::isInstance)
              .map(action -> ((ForwardAction.SendControl) action).message())
              .filter(ServingMessage.Rollouts.class::isInstance)
              .map(message -> ((ServingMessage.Rollouts) message).sequence())
              .findFirst();
      if (sequence.isPresent()) {
        confirm(1);
        return sequence.get();
      }
    }
    throw new AssertionError("the VM has not asked for requests that it may send");
  }

  private void lend(long sequence, long ceiling) {
    CanaryAllowance loan =
        new CanaryAllowance(
            TestPlans.ENGINES, ORDERED_MS, ceiling, List.of(new UpstreamId("new")), 0);
    node.onControlMessage(
        new ServingReply.CanaryLoans(TERM, sequence, LENT_FOR_MS, List.of(loan)), nowNs);
  }

  private String next() {
    arrive("/stream/x");
    return dispatches().get(0);
  }

  @Test
  void orderedVersionGetsNothingThatIsNotLent() {
    for (int i = 0; i < 5; i++) {
      assertThat(next()).isEqualTo("old");
    }
  }

  @Test
  void orderedVersionGetsWhatIsLentAndNoMore() {
    lend(asked(), 2);
    assertThat(next()).isEqualTo("new");
    assertThat(next()).isEqualTo("new");
    assertThat(next()).isEqualTo("old");
  }

  /** A VM that is cut off still has a loan when the version has long been rolled back. */
  @Test
  void loanEndsByItself() {
    lend(asked(), 2);
    nowNs += (LENT_FOR_MS + 1) * MS;
    assertThat(next()).isEqualTo("old");
  }

  /** The leader counts a loan as returned once the VM asks again, and the answer comes late. */
  @Test
  void loanOfAnEarlierMessageIsNotTaken() {
    long first = asked();
    asked();
    lend(first, 2);
    assertThat(next()).isEqualTo("old");
  }

  /** A caller waits through the failure of a canary and then through that of another one. */
  @Test
  void repeatNeverGoesToTheOrderedVersion() {
    lend(asked(), 2);
    long number = arrive("/resumable/x");
    assertThat(dispatches()).containsExactly("new");
    end(number, AttemptOutcome.FAILED_ANSWER);
    assertThat(dispatches()).containsExactly("old");
  }

  @Test
  void orderedVersionAloneGetsRequestsWhileAllTurnToIt() {
    tell(RolloutPhase.SHIFTING);
    assertThat(next()).isEqualTo("new");
  }

  @Test
  void versionThatWasRolledBackGetsNothing() {
    lend(asked(), 2);
    tell(RolloutPhase.ROLLED_BACK);
    assertThat(next()).isEqualTo("old");
  }
}
