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

/** A held request goes to no upstream, wherever it was when the hold came. */
class ForwardQuarantineTest extends ForwardNodeTestBase {

  private static final int PLACES = 1;

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

  private void serveWithOnePlace() {
    serveWith(TestPlans.plan(1), upstream("e1", TestPlans.ENGINES, PLACES));
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
    serveWithOnePlace();
    hold("/stream/x");
    assertThat(refused(arrive("/stream/x"))).containsExactly(RefusalReason.QUARANTINED);
    assertThat(isDispatched(arrive("/stream/y"))).isTrue();
  }

  /** The hold comes while a copy waits for a place, and the place becomes free. */
  @Test
  void copyInTheLineIsRefusedAndNeverSent() {
    serveWithOnePlace();
    long other = arrive("/stream/y");
    long copy = arrive("/stream/x");
    hold("/stream/x");
    assertThat(refused(copy)).containsExactly(RefusalReason.QUARANTINED);
    end(other, AttemptOutcome.ANSWERED);
    assertThat(isDispatched(copy)).isFalse();
  }

  /** The hold comes while a copy waits for the leader's grant, which comes next. */
  @Test
  void grantIsNotUsedForCopy() {
    serveWithOnePlace();
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
                upstream("e1", TestPlans.ENGINES, PLACES).id(),
                new Urgency(1, false, 1)),
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

  /** A copy queues at an upstream and would end it once it begins to run. */
  @Test
  void copyAtUpstreamIsBrokenOffAndMayHaveRun() {
    serveWithOnePlace();
    final long copy = arrive("/stream/x");
    hold("/stream/x");
    assertThat(actions).contains(new ForwardAction.Cancel(copy));
    assertThat(refused(copy)).containsExactly(RefusalReason.BROKEN);
  }

  /** A copy that is being answered shows by its end whether the hold is right. */
  @Test
  void copyThatAnswersGoesOnAndItsEndIsTold() {
    serveWithOnePlace();
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

  /** A request that may be repeated is held between its tries. */
  @Test
  void heldRequestGetsNoSecondTry() {
    serveWith(
        TestPlans.plan(1),
        upstream("p1", TestPlans.PLAIN, PLACES),
        upstream("p2", TestPlans.PLAIN, PLACES));
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

  /** The leader lets it go once; a second copy at the same moment must not go with it. */
  @Test
  void trialSendsOneCopyOnce() {
    serveWith(
        TestPlans.plan(1),
        upstream("p1", TestPlans.PLAIN, PLACES),
        upstream("p2", TestPlans.PLAIN, PLACES));
    hold("/safe/x");
    node.onControlMessage(new ServingReply.Trial(TERM, fingerprintOf("/safe/x"), 1_000), nowNs);
    final long copy = arrive("/safe/x");
    assertThat(isDispatched(copy)).isTrue();
    assertThat(refused(arrive("/safe/x"))).containsExactly(RefusalReason.QUARANTINED);
    end(copy, AttemptOutcome.BROKEN);
    assertThat(isDispatched(copy)).isFalse();
    assertThat(refused(copy)).containsExactly(RefusalReason.BROKEN);
  }

  /** The next leader hears of losses that the one before had cleared, and holds the request. */
  @Test
  void clearedLossIsNotReportedToTheNextLeader() {
    serveWithOnePlace();
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

  /** A VM that hears from no leader holds what ended three upstreams before its own eyes. */
  @Test
  void withoutLeaderOwnLossesHold() {
    serveWith(
        TestPlans.plan(1),
        upstream("e1", TestPlans.ENGINES, PLACES),
        upstream("e2", TestPlans.ENGINES, PLACES),
        upstream("e3", TestPlans.ENGINES, PLACES),
        upstream("e4", TestPlans.ENGINES, PLACES));
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
