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

/**
 * Tests that a request with an idempotency key runs at most once while members and entry VMs fail.
 */
class ClaimCoordinatorTest {

  private static final UpstreamId UPSTREAM = new UpstreamId("u1");

  private final FakeControlGroup group = new FakeControlGroup(3).start();
  private FakeControlMember leader;
  private RecordingEntryVm vm1;
  private RecordingEntryVm vm2;

  @BeforeEach
  void configure() {
    leader = group.leader();
    vm1 = group.entry("e1");
    vm2 = group.entry("e2");
    group.change(leader, "fleet", 0, Samples.fleet(0, "u1"));
    group.run(4_000);
    announce(leader);
  }

  private void announce(FakeControlMember member) {
    vm1.send(member, Samples.seen("u1", "regina-a", 1));
    group.run(10);
  }

  private static EntryMessage.Ended ended(String request, EndKind kind) {
    return new EntryMessage.Ended(
        new RequestId(request), UPSTREAM, kind, new Usage(100, 0, 20), 400);
  }

  private void assertClaimExists(
      RecordingEntryVm vm, String requester, String holder, ClaimState state) {
    assertThat(vm.heard(ClaimExists.class))
        .anyMatch(
            message ->
                message.request().value().equals(requester)
                    && message.holder().value().equals(holder)
                    && message.state() == state);
  }

  /** A request with a key may be granted only after a quorum has synced its claim. */
  @Test
  void grantFollowsTheCommittedClaim() {
    vm1.send(leader, Samples.offer("r1", "k", "d"));
    group.run(3);
    assertThat(vm1.heard(Grant.class)).isEmpty();
    group.run(20);
    assertThat(vm1.heard(Grant.class)).hasSize(1);
    assertThat(group.members()).allMatch(member -> member.control().claimCount() <= 1);
    assertThat(leader.control().claimCount()).isEqualTo(1);
  }

  /**
   * A caller submits a form twice and the load balancer sends the two requests to different VMs.
   * Without the claim it would be processed twice; the second request must receive the state of the
   * first one while that is waiting, running and completed.
   */
  @Test
  void duplicateRequestLearnsStateOfTheFirst() {
    vm1.send(leader, Samples.offer("r1", "k", "d"));
    vm2.send(leader, Samples.offer("r2", "k", "d"));
    group.run(30);
    assertThat(vm1.heard(Grant.class)).hasSize(1);
    assertThat(vm2.heard(Grant.class)).isEmpty();
    assertClaimExists(vm2, "r2", "r1", ClaimState.WAITING);

    vm2.send(leader, Samples.offer("r3", "k", "d"));
    group.run(30);
    assertClaimExists(vm2, "r3", "r1", ClaimState.RUNNING);

    vm1.send(leader, ended("r1", EndKind.COMPLETED));
    group.run(30);
    vm2.send(leader, Samples.offer("r4", "k", "d"));
    group.run(30);
    assertClaimExists(vm2, "r4", "r1", ClaimState.COMPLETED);
    assertThat(vm2.heard(Grant.class)).isEmpty();
  }

  /** A caller that reuses a key for another body made a mistake and must receive a conflict. */
  @Test
  void anotherBodyUnderTheKeyIsConflict() {
    vm1.send(leader, Samples.offer("r1", "k", "d"));
    group.run(30);
    vm2.send(leader, Samples.offer("r2", "k", "other"));
    group.run(30);
    assertThat(vm2.heard(Refused.class))
        .containsExactly(new Refused(new RequestId("r2"), RefusalKind.KEY_CONFLICT, 0));
  }

  /**
   * The leader commits a claim and dies before its grant arrives. The waiting VM offers the same
   * request to the next leader, where its own claim must not block it; a second request with the
   * key must still find the first one.
   */
  @Test
  void claimOfLostGrantIsGrantedAgainToItsHolder() {
    vm1.send(leader, Samples.offer("r1", "k", "d"));
    group.run(2);
    vm1.setDisconnected(true);
    group.run(20);
    leader.kill();
    vm1.setDisconnected(false);
    assertThat(vm1.heard(Grant.class)).isEmpty();

    FakeControlMember next = group.leader();
    group.run(1_000);
    announce(next);
    vm1.send(next, Samples.offer("r1", "k", "d"));
    vm2.send(next, Samples.offer("r2", "k", "d"));
    group.run(50);
    assertThat(vm1.heard(Grant.class)).hasSize(1);
    assertThat(vm2.heard(Grant.class)).isEmpty();
    assertThat(vm2.heard(ClaimExists.class)).hasSize(1);
  }

  /**
   * A request is granted, declined because the connection fails, and granted again. If the decline
   * released the key, a second request with it would run concurrently with the first one.
   */
  @Test
  void declinedRequestKeepsItsKeyOverTheNextGrant() {
    vm1.send(leader, Samples.offer("r1", "k", "d"));
    group.run(30);
    vm1.send(
        leader,
        new EntryMessage.Declined(new RequestId("r1"), UPSTREAM, DeclineReason.CONNECT_FAILED));
    group.run(10_000);
    assertThat(vm1.heard(Grant.class)).hasSize(2);
    vm2.send(leader, Samples.offer("r2", "k", "d"));
    group.run(30);
    assertClaimExists(vm2, "r2", "r1", ClaimState.RUNNING);
  }

  /**
   * The caller disconnects while the claim is being committed. The request never ran, so its key
   * must be released; otherwise the next try would be told that a request with the key has run.
   */
  @Test
  void requestWithdrawnDuringItsClaimFreesTheKey() {
    vm1.send(leader, Samples.offer("r1", "k", "d"));
    group.run(2);
    vm1.send(leader, new EntryMessage.Withdraw(new RequestId("r1"), WithdrawReason.CALLER_GONE));
    group.run(50);
    assertThat(vm1.heard(Grant.class)).isEmpty();
    vm2.send(leader, Samples.offer("r2", "k", "d"));
    group.run(50);
    assertThat(vm2.heard(Grant.class)).hasSize(1);
  }

  /**
   * The VM that reads a long answer dies. The caller retries with the key at another VM, which
   * takes over the running answer and reports its end: the request ran once and counts as
   * completed.
   */
  @Test
  void anotherVmTakesOverTheRunningAnswer() {
    vm1.send(leader, Samples.offer("r1", "k", "d"));
    group.run(30);
    vm1.setDisconnected(true);
    group.run(4_000);
    vm2.send(leader, Samples.offer("r2", "k", "d"));
    group.run(30);
    assertClaimExists(vm2, "r2", "r1", ClaimState.RUNNING);
    assertThat(vm2.last(ClaimExists.class).orElseThrow().address()).isPresent();
    vm2.send(leader, ended("r1", EndKind.COMPLETED));
    group.run(30);
    vm2.send(leader, Samples.offer("r3", "k", "d"));
    group.run(30);
    assertClaimExists(vm2, "r3", "r1", ClaimState.COMPLETED);
  }

  /**
   * The leader is paused right after it has appended a claim, long enough for another member to
   * become leader. When it resumes, it reads the quorum's replies from its sockets; it must no
   * longer send the grant.
   */
  @Test
  void resumedLeaderGrantsNothingForAnOldClaim() {
    vm1.send(leader, Samples.offer("r1", "k", "d"));
    group.run(2);
    leader.pause();
    group.run(5_000);
    FakeControlMember next = group.leader();
    assertThat(next).isNotSameAs(leader);
    int before = leader.actions().size();
    leader.resume();
    group.run(1_000);
    List<ControlAction> late = leader.actions().subList(before, leader.actions().size());
    assertThat(late).noneMatch(ControlAction::requiresLease);
  }

  /**
   * The leader is paused while an offer waits in its socket, and another member becomes leader. Two
   * leaders would fill the same upstream; the resumed one must send neither a grant nor a welcome.
   */
  @Test
  void resumedLeaderAcceptsNoOfferAndSendsNoWelcome() {
    leader.pause();
    vm1.send(leader, Samples.offer("r1", "k", "d"));
    group.run(5_000);
    vm1.clearReceived();
    int before = leader.actions().size();
    leader.resume();
    group.run(500);
    assertThat(leader.actions().subList(before, leader.actions().size()))
        .noneMatch(ControlAction::requiresLease)
        .anyMatch(ControlAction.SendNotLeader.class::isInstance);
  }
}
