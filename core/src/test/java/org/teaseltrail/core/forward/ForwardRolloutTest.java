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
  private static final long ALLOWANCE_MS = 1_000;
  private static final int SLOTS = 20;

  private long revision;

  @BeforeEach
  void order() {
    serveWith(TestPlans.plan(1), version("old", OLD), version("new", ORDERED));
    updateRollout(RolloutPhase.RUNNING);
  }

  private static Registration version(String id, UpstreamVersion version) {
    Registration plain = upstream(id, TestPlans.ENGINES, SLOTS);
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

  private void updateRollout(RolloutPhase phase) {
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

  /**
   * Advances the time until the VM requests an allowance, and returns the sequence number of its
   * message.
   */
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
    throw new AssertionError("the VM sent no request for a canary allowance");
  }

  private void grantAllowance(long sequence, long ceiling) {
    CanaryAllowance allowance =
        new CanaryAllowance(
            TestPlans.ENGINES, ORDERED_MS, ceiling, List.of(new UpstreamId("new")), 0);
    node.onControlMessage(
        new ServingReply.CanaryLoans(TERM, sequence, ALLOWANCE_MS, List.of(allowance)), nowNs);
  }

  private String dispatchNext() {
    arrive("/stream/x");
    return dispatches().get(0);
  }

  @Test
  void orderedVersionGetsNothingThatIsNotLent() {
    for (int i = 0; i < 5; i++) {
      assertThat(dispatchNext()).isEqualTo("old");
    }
  }

  @Test
  void orderedVersionGetsWhatIsLentAndNoMore() {
    grantAllowance(asked(), 2);
    assertThat(dispatchNext()).isEqualTo("new");
    assertThat(dispatchNext()).isEqualTo("new");
    assertThat(dispatchNext()).isEqualTo("old");
  }

  /** A partitioned VM still has an allowance long after the version has been rolled back. */
  @Test
  void loanEndsByItself() {
    grantAllowance(asked(), 2);
    nowNs += (ALLOWANCE_MS + 1) * MS;
    assertThat(dispatchNext()).isEqualTo("old");
  }

  /**
   * The leader regards an allowance as returned once the VM requests another one, and the earlier
   * answer arrives late.
   */
  @Test
  void loanOfAnEarlierMessageIsNotTaken() {
    long first = asked();
    asked();
    grantAllowance(first, 2);
    assertThat(dispatchNext()).isEqualTo("old");
  }

  /** A caller would wait through the failure of one canary and then through that of another. */
  @Test
  void repeatNeverGoesToTheOrderedVersion() {
    grantAllowance(asked(), 2);
    long number = arrive("/resumable/x");
    assertThat(dispatches()).containsExactly("new");
    end(number, AttemptOutcome.FAILED_ANSWER);
    assertThat(dispatches()).containsExactly("old");
  }

  @Test
  void orderedVersionAloneGetsRequestsWhileAllTurnToIt() {
    updateRollout(RolloutPhase.SHIFTING);
    assertThat(dispatchNext()).isEqualTo("new");
  }

  @Test
  void versionThatWasRolledBackGetsNothing() {
    grantAllowance(asked(), 2);
    updateRollout(RolloutPhase.ROLLED_BACK);
    assertThat(dispatchNext()).isEqualTo("old");
  }
}
