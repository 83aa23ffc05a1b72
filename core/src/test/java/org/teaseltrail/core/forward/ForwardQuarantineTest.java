package org.teaseltrail.core.forward;

import static org.assertj.core.api.Assertions.assertThat;

import java.util.List;
import java.util.Optional;
import org.junit.jupiter.api.Test;
import org.teaseltrail.core.id.CustomerId;
import org.teaseltrail.core.id.FencingNumber;
import org.teaseltrail.core.plan.TestPlans;
import org.teaseltrail.core.quarantine.Fingerprint;
import org.teaseltrail.core.quarantine.RequestContent;
import org.teaseltrail.core.serving.QueueState;
import org.teaseltrail.core.serving.ServingMessage;
import org.teaseltrail.core.serving.ServingReply;
import org.teaseltrail.core.serving.Urgency;

/**
 * Tests that a quarantined request is sent to no upstream, in whatever state the quarantine finds
 * it.
 */
class ForwardQuarantineTest extends ForwardNodeTestBase {

  private static final int SLOTS = 1;

  private long revision;

  private static Fingerprint fingerprintOf(String path) {
    Optional<CustomerId> customer = Optional.of(TestPlans.CUSTOMER);
    int scope = Fingerprint.scope(customer, TestPlans.HOST, path);
    return Fingerprint.of(scope, customer, TestPlans.HOST, RequestContent.EMPTY);
  }

  private void hold(String... paths) {
    revision++;
    List<Fingerprint> held = List.of(paths).stream().map(path -> fingerprintOf(path)).toList();
    actions =
        node.onControlMessage(
            new ServingReply.QuarantineUpdate(TERM, revision, true, held, List.of()), nowNs);
  }

  private void serveWithOneSlot() {
    serveWith(TestPlans.plan(1), upstream("e1", TestPlans.ENGINES, SLOTS));
  }

  private List<RefusalReason> refused(long number) {
    return actions.stream()
        .filter(ForwardAction.Refuse.class::isInstance)
        .map(ForwardAction.Refuse.class::cast)
        .filter(refuse -> refuse.request() == number)
        .map(ForwardAction.Refuse::refusalReason)
        .toList();
  }

  private boolean isDispatched(long number) {
    return actions.stream()
        .anyMatch(
            action ->
                action instanceof ForwardAction.Dispatch dispatch && dispatch.request() == number);
  }

  @Test
  void heldRequestThatArrivesIsRefusedAndOthersAreSent() {
    serveWithOneSlot();
    hold("/stream/x");
    assertThat(refused(arrive("/stream/x"))).containsExactly(RefusalReason.QUARANTINED);
    assertThat(isDispatched(arrive("/stream/y"))).isTrue();
  }

  /**
   * The request is quarantined while a copy is queued for a slot, and then the slot becomes free.
   */
  @Test
  void copyInTheLineIsRefusedAndNeverSent() {
    serveWithOneSlot();
    long other = arrive("/stream/y");
    long copy = arrive("/stream/x");
    hold("/stream/x");
    assertThat(refused(copy)).containsExactly(RefusalReason.QUARANTINED);
    end(other, AttemptOutcome.ANSWERED);
    assertThat(isDispatched(copy)).isFalse();
  }

  /** The request is quarantined while a copy waits for the leader's grant, which arrives next. */
  @Test
  void grantIsNotUsedForCopy() {
    serveWithOneSlot();
    contended = List.of(TestPlans.ENGINES);
    advanceMs(250);
    confirm(1);
    final long copy = arrive("/stream/x");
    hold("/stream/x");
    assertThat(refused(copy)).containsExactly(RefusalReason.QUARANTINED);
    actions =
        node.onControlMessage(
            new ServingReply.SlotGrant(
                TERM,
                1,
                TestPlans.ENGINES,
                upstream("e1", TestPlans.ENGINES, SLOTS).id(),
                new Urgency(1, false, 1),
                Optional.empty()),
            nowNs);
    assertThat(isDispatched(copy)).isFalse();
    assertThat(lines()).isEmpty();
  }

  private List<QueueState> lines() {
    return actions.stream()
        .filter(ForwardAction.SendControl.class::isInstance)
        .map(action -> ((ForwardAction.SendControl) action).message())
        .filter(ServingMessage.Lines.class::isInstance)
        .flatMap(message -> ((ServingMessage.Lines) message).lines().stream())
        .toList();
  }

  /** A copy is queued at an upstream and would crash it once it runs. */
  @Test
  void copyAtUpstreamIsBrokenOffAndMayHaveRun() {
    serveWithOneSlot();
    final long copy = arrive("/stream/x");
    hold("/stream/x");
    assertThat(actions).contains(new ForwardAction.Cancel(copy));
    assertThat(refused(copy)).containsExactly(RefusalReason.BROKEN);
  }

  /** The outcome of a copy whose response has started shows whether the quarantine is justified. */
  @Test
  void copyThatAnswersGoesOnAndItsEndIsTold() {
    serveWithOneSlot();
    final long copy = arrive("/stream/x");
    node.onResponseStarted(copy, nowNs);
    hold("/stream/x");
    assertThat(refused(copy)).isEmpty();
    end(copy, AttemptOutcome.ANSWERED);
    assertThat(losses())
        .singleElement()
        .extracting(ServingMessage.Losses::served)
        .isEqualTo(List.of(fingerprintOf("/stream/x")));
  }

  private List<ServingMessage.Losses> losses() {
    return actions.stream()
        .filter(ForwardAction.SendControl.class::isInstance)
        .map(action -> ((ForwardAction.SendControl) action).message())
        .filter(ServingMessage.Losses.class::isInstance)
        .map(ServingMessage.Losses.class::cast)
        .toList();
  }

  /** A retryable request is quarantined between its attempts. */
  @Test
  void heldRequestGetsNoSecondTry() {
    serveWith(
        TestPlans.plan(1),
        upstream("p1", TestPlans.PLAIN, SLOTS),
        upstream("p2", TestPlans.PLAIN, SLOTS));
    final long copy = arrive("/resumable/x");
    final long safe = arrive("/safe/x");
    assertThat(isDispatched(safe)).isTrue();
    node.onResponseStarted(safe, nowNs);
    hold("/safe/x", "/resumable/x");
    assertThat(refused(copy)).containsExactly(RefusalReason.QUARANTINED);
    end(safe, AttemptOutcome.BROKEN);
    assertThat(isDispatched(safe)).isFalse();
    assertThat(refused(safe)).containsExactly(RefusalReason.BROKEN);
  }

  /** The leader permits one trial; a second copy at the same time must not be sent. */
  @Test
  void trialSendsOneCopyOnce() {
    serveWith(
        TestPlans.plan(1),
        upstream("p1", TestPlans.PLAIN, SLOTS),
        upstream("p2", TestPlans.PLAIN, SLOTS));
    hold("/safe/x");
    node.onControlMessage(new ServingReply.Trial(TERM, fingerprintOf("/safe/x"), 1_000), nowNs);
    final long copy = arrive("/safe/x");
    assertThat(isDispatched(copy)).isTrue();
    assertThat(refused(arrive("/safe/x"))).containsExactly(RefusalReason.QUARANTINED);
    end(copy, AttemptOutcome.BROKEN);
    assertThat(isDispatched(copy)).isFalse();
    assertThat(refused(copy)).containsExactly(RefusalReason.BROKEN);
  }

  private void leaveUndecided(String path) {
    revision++;
    List<Fingerprint> undecided = List.of(fingerprintOf(path));
    actions =
        node.onControlMessage(
            new ServingReply.QuarantineUpdate(
                TERM, revision, true, undecided, List.of(), Optional.of(undecided)),
            nowNs);
  }

  /** Guards against refusals of a request that the leader has not found to be the cause. */
  @Test
  void undecidedRequestWaitsAndIsSentOnceItIsReleased() {
    serveWithOneSlot();
    leaveUndecided("/stream/x");
    final long copy = arrive("/stream/x");
    assertThat(isDispatched(copy)).isFalse();
    assertThat(refused(copy)).isEmpty();
    assertThat(isDispatched(arrive("/stream/y"))).isTrue();
    end(lastNumber, AttemptOutcome.ANSWERED);
    hold();
    assertThat(isDispatched(copy)).isTrue();
  }

  @Test
  void undecidedRequestIsRefusedOnceItIsHeld() {
    serveWithOneSlot();
    leaveUndecided("/stream/x");
    final long copy = arrive("/stream/x");
    hold("/stream/x");
    assertThat(refused(copy)).containsExactly(RefusalReason.QUARANTINED);
  }

  /** Guards against a stream that has begun, waits to be resumed, and is sent though it is held. */
  @Test
  void pausedStreamThatHasBegunIsNotResumedOnceItIsHeld() {
    serveWith(
        TestPlans.plan(1),
        upstream("e1", TestPlans.ENGINES, SLOTS),
        upstream("e2", TestPlans.ENGINES, SLOTS));
    final long copy = arrive("/resumable/x");
    node.onResponseStarted(copy, nowNs);
    leaveUndecided("/resumable/x");
    end(copy, AttemptOutcome.BROKEN);
    assertThat(isDispatched(copy)).isFalse();
    assertThat(refused(copy)).isEmpty();
    hold("/resumable/x");
    assertThat(isDispatched(copy)).isFalse();
    assertThat(refused(copy)).containsExactly(RefusalReason.BROKEN);
  }

  /** Guards against several copies that are sent while it is unknown whether they are harmless. */
  @Test
  void trialSendsOneWaitingCopyOfUndecidedRequest() {
    serveWith(
        TestPlans.plan(1),
        upstream("e1", TestPlans.ENGINES, SLOTS),
        upstream("e2", TestPlans.ENGINES, SLOTS));
    leaveUndecided("/stream/x");
    final long first = arrive("/stream/x");
    final long second = arrive("/stream/x");
    actions =
        node.onControlMessage(
            new ServingReply.Trial(TERM, fingerprintOf("/stream/x"), 1_000), nowNs);
    assertThat(isDispatched(first)).isTrue();
    assertThat(isDispatched(second)).isFalse();
  }

  /** Guards against callers that wait for a decision beyond their time in the queue. */
  @Test
  void undecidedRequestIsRefusedWhenItsTimeInTheQueueIsOver() {
    serveWithOneSlot();
    leaveUndecided("/stream/x");
    final long copy = arrive("/stream/x");
    advanceMs(4_000);
    assertThat(refused(copy)).containsExactly(RefusalReason.WAITED_TOO_LONG);
  }

  /**
   * A new leader would receive losses that its predecessor had cleared, and quarantine the request
   * again.
   */
  @Test
  void clearedLossIsNotReportedToTheNextLeader() {
    serveWithOneSlot();
    end(arrive("/stream/x"), AttemptOutcome.BROKEN);
    advanceMs(1_500);
    hold();
    advanceMs(250);
    actions =
        node.onControlMessage(
            new ServingReply.Confirmed(
                new FencingNumber(2),
                lastSequence,
                1,
                1,
                1,
                List.of(MEMBER),
                places,
                List.of(),
                grants()),
            nowNs);
    assertThat(losses())
        .singleElement()
        .extracting(ServingMessage.Losses::losses)
        .isEqualTo(List.of());
  }

  /** A VM without a leader quarantines a request under which it lost three upstreams itself. */
  @Test
  void withoutLeaderOwnLossesHold() {
    serveWith(
        TestPlans.plan(1),
        upstream("e1", TestPlans.ENGINES, SLOTS),
        upstream("e2", TestPlans.ENGINES, SLOTS),
        upstream("e3", TestPlans.ENGINES, SLOTS),
        upstream("e4", TestPlans.ENGINES, SLOTS));
    advanceMs(1_000);
    for (int i = 0; i < 3; i++) {
      long copy = arrive("/stream/x");
      assertThat(isDispatched(copy)).isTrue();
      end(copy, AttemptOutcome.BROKEN);
      advanceMs(50);
    }
    assertThat(refused(arrive("/stream/x"))).containsExactly(RefusalReason.QUARANTINED);
    assertThat(isDispatched(arrive("/stream/y"))).isTrue();
  }
}
