package org.teaseltrail.core.control;

import static org.assertj.core.api.Assertions.assertThat;

import java.util.List;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;
import org.teaseltrail.core.id.RequestId;
import org.teaseltrail.core.id.UpstreamId;
import org.teaseltrail.core.message.ClaimState;
import org.teaseltrail.core.message.ControlMessage.ClaimExists;
import org.teaseltrail.core.message.ControlMessage.Grant;
import org.teaseltrail.core.message.ControlMessage.Refused;
import org.teaseltrail.core.message.DeclineReason;
import org.teaseltrail.core.message.EndKind;
import org.teaseltrail.core.message.EntryMessage;
import org.teaseltrail.core.message.RefusalKind;
import org.teaseltrail.core.message.Usage;
import org.teaseltrail.core.message.WithdrawReason;

/** Proves that a request with a key runs at most once while members and entry VMs fail. */
class ClaimServiceTest {

  private static final UpstreamId UPSTREAM = new UpstreamId("u1");

  private final FakeControlGroup group = new FakeControlGroup(3).start();
  private FakeControl leader;
  private FakeEntry one;
  private FakeEntry two;

  @BeforeEach
  void configure() {
    leader = group.leader();
    one = group.entry("e1");
    two = group.entry("e2");
    group.change(leader, "fleet", 0, Samples.fleet(0, "u1"));
    group.run(4_000);
    announce(leader);
  }

  private void announce(FakeControl member) {
    one.say(member, Samples.seen("u1", "regina-a", 1));
    group.run(10);
  }

  private static EntryMessage.Ended ended(String request, EndKind kind) {
    return new EntryMessage.Ended(
        new RequestId(request), UPSTREAM, kind, new Usage(100, 0, 20), 400);
  }

  private void assertHeld(FakeEntry vm, String asker, String holder, ClaimState state) {
    assertThat(vm.heard(ClaimExists.class))
        .anyMatch(
            told ->
                told.request().value().equals(asker)
                    && told.holder().value().equals(holder)
                    && told.state() == state);
  }

  /** The grant of a request with a key may only follow a claim that a quorum has synced. */
  @Test
  void grantFollowsTheCommittedClaim() {
    one.say(leader, Samples.offer("r1", "k", "d"));
    group.run(3);
    assertThat(one.heard(Grant.class)).isEmpty();
    group.run(20);
    assertThat(one.heard(Grant.class)).hasSize(1);
    assertThat(group.members()).allMatch(member -> member.control().claimCount() <= 1);
    assertThat(leader.control().claimCount()).isEqualTo(1);
  }

  /**
   * A volunteer presses twice and the balancer sends both to different VMs. The quiz would be
   * submitted twice; the second must be told of the first, waiting, running and completed.
   */
  @Test
  void doubledRequestIsToldOfTheFirst() {
    one.say(leader, Samples.offer("r1", "k", "d"));
    two.say(leader, Samples.offer("r2", "k", "d"));
    group.run(30);
    assertThat(one.heard(Grant.class)).hasSize(1);
    assertThat(two.heard(Grant.class)).isEmpty();
    assertHeld(two, "r2", "r1", ClaimState.WAITING);

    two.say(leader, Samples.offer("r3", "k", "d"));
    group.run(30);
    assertHeld(two, "r3", "r1", ClaimState.RUNNING);

    one.say(leader, ended("r1", EndKind.COMPLETED));
    group.run(30);
    two.say(leader, Samples.offer("r4", "k", "d"));
    group.run(30);
    assertHeld(two, "r4", "r1", ClaimState.COMPLETED);
    assertThat(two.heard(Grant.class)).isEmpty();
  }

  /** A key used again for another body is a fault of the caller, who must learn of it. */
  @Test
  void anotherBodyUnderTheKeyIsConflict() {
    one.say(leader, Samples.offer("r1", "k", "d"));
    group.run(30);
    two.say(leader, Samples.offer("r2", "k", "other"));
    group.run(30);
    assertThat(two.heard(Refused.class))
        .containsExactly(new Refused(new RequestId("r2"), RefusalKind.KEY_CONFLICT, 0));
  }

  /**
   * The leader commits a claim and dies before its grant arrives. The waiting VM offers the same
   * request to the next leader, where its own claim must not stand in its way; a second request
   * under the key must still find the first.
   */
  @Test
  void claimOfLostGrantIsGrantedAgainToItsHolder() {
    one.say(leader, Samples.offer("r1", "k", "d"));
    group.run(2);
    one.silence(true);
    group.run(20);
    leader.kill();
    one.silence(false);
    assertThat(one.heard(Grant.class)).isEmpty();

    FakeControl next = group.leader();
    group.run(1_000);
    announce(next);
    one.say(next, Samples.offer("r1", "k", "d"));
    two.say(next, Samples.offer("r2", "k", "d"));
    group.run(50);
    assertThat(one.heard(Grant.class)).hasSize(1);
    assertThat(two.heard(Grant.class)).isEmpty();
    assertThat(two.heard(ClaimExists.class)).hasSize(1);
  }

  /**
   * A request is granted, then declined since nothing connects, and granted again. If the decline
   * freed its key, a second request under it would run beside the first.
   */
  @Test
  void declinedRequestKeepsItsKeyOverTheNextGrant() {
    one.say(leader, Samples.offer("r1", "k", "d"));
    group.run(30);
    one.say(
        leader,
        new EntryMessage.Declined(new RequestId("r1"), UPSTREAM, DeclineReason.CONNECT_FAILED));
    group.run(10_000);
    assertThat(one.heard(Grant.class)).hasSize(2);
    two.say(leader, Samples.offer("r2", "k", "d"));
    group.run(30);
    assertHeld(two, "r2", "r1", ClaimState.RUNNING);
  }

  /**
   * The caller hangs up while the claim is being committed. The request never ran, so its key must
   * be free, or the next try would be told of a run that never was.
   */
  @Test
  void requestWithdrawnDuringItsClaimFreesTheKey() {
    one.say(leader, Samples.offer("r1", "k", "d"));
    group.run(2);
    one.say(leader, new EntryMessage.Withdraw(new RequestId("r1"), WithdrawReason.CALLER_GONE));
    group.run(50);
    assertThat(one.heard(Grant.class)).isEmpty();
    two.say(leader, Samples.offer("r2", "k", "d"));
    group.run(50);
    assertThat(two.heard(Grant.class)).hasSize(1);
  }

  /**
   * The VM that reads a long report dies. The caller comes back with the key over another VM, which
   * takes the running answer over and tells its end: the report ran once and counts as completed.
   */
  @Test
  void anotherVmAdoptsTheRunningAnswer() {
    one.say(leader, Samples.offer("r1", "k", "d"));
    group.run(30);
    one.silence(true);
    group.run(4_000);
    two.say(leader, Samples.offer("r2", "k", "d"));
    group.run(30);
    assertHeld(two, "r2", "r1", ClaimState.RUNNING);
    assertThat(two.last(ClaimExists.class).orElseThrow().address()).isPresent();
    two.say(leader, ended("r1", EndKind.COMPLETED));
    group.run(30);
    two.say(leader, Samples.offer("r3", "k", "d"));
    group.run(30);
    assertHeld(two, "r3", "r1", ClaimState.COMPLETED);
  }

  /**
   * The leader is frozen right after it has appended a claim, long enough for another to lead. When
   * it thaws it finds the quorum's answers in its sockets; its grant must not go out any more.
   */
  @Test
  void thawedLeaderGrantsNothingForAnOldClaim() {
    one.say(leader, Samples.offer("r1", "k", "d"));
    group.run(2);
    leader.freeze();
    group.run(5_000);
    FakeControl next = group.leader();
    assertThat(next).isNotSameAs(leader);
    int before = leader.actions().size();
    leader.thaw();
    group.run(1_000);
    List<ControlAction> late = leader.actions().subList(before, leader.actions().size());
    assertThat(late).noneMatch(ControlAction::requiresLease);
  }

  /**
   * The same freeze, with an offer waiting in the socket. Two leaders would fill the same upstream;
   * the thawed one must send neither a grant nor a welcome.
   */
  @Test
  void thawedLeaderTakesNoOfferAndWelcomesNobody() {
    leader.freeze();
    one.say(leader, Samples.offer("r1", "k", "d"));
    group.run(5_000);
    one.forget();
    int before = leader.actions().size();
    leader.thaw();
    group.run(500);
    assertThat(leader.actions().subList(before, leader.actions().size()))
        .noneMatch(ControlAction::requiresLease)
        .anyMatch(ControlAction.SendNotLeader.class::isInstance);
  }
}
