package org.teaseltrail.core.schedule;

import static org.assertj.core.api.Assertions.assertThat;
import static org.teaseltrail.core.schedule.PoolFixture.grants;
import static org.teaseltrail.core.schedule.PoolFixture.refusals;
import static org.teaseltrail.core.schedule.PoolFixture.ticket;

import java.util.List;
import org.junit.jupiter.api.Test;
import org.teaseltrail.core.id.RequestId;
import org.teaseltrail.core.id.UpstreamId;
import org.teaseltrail.core.message.ControlMessage;
import org.teaseltrail.core.message.DeclineReason;
import org.teaseltrail.core.message.EndKind;
import org.teaseltrail.core.message.EntryMessage;
import org.teaseltrail.core.message.Usage;
import org.teaseltrail.core.message.WithdrawReason;
import org.teaseltrail.core.upstream.UpstreamPhase;

class PoolSchedulerTest {

  private static final SchedulerSettings SETTINGS = SchedulerSettings.defaults();

  @Test
  void grantsInTierOrderAsRoomComes() {
    PoolFixture pool = PoolFixture.serving(1, SETTINGS);
    assertThat(grants(pool.offer(ticket("a", 3)))).containsExactly("a@u1");
    assertThat(grants(pool.offer(ticket("b", 3)))).containsExactly("b@u1");
    pool.offer(ticket("low", 3));
    pool.offer(ticket("high", 1));
    assertThat(grants(pool.end("a", "u1"))).containsExactly("high@u1");
    assertThat(grants(pool.end("b", "u1"))).containsExactly("low@u1");
  }

  @Test
  void grantsNothingToUpstreamThatIsLeaving() {
    PoolFixture pool = PoolFixture.serving(1, SETTINGS);
    pool.announce("u1", UpstreamPhase.LEAVING);
    assertThat(grants(pool.offer(ticket("a", 1)))).isEmpty();
    assertThat(grants(pool.announce("u1", UpstreamPhase.SERVING))).containsExactly("a@u1");
  }

  @Test
  void grantsNothingToUpstreamThatOperatorsDrainOrDoNotAllow() {
    PoolFixture pool = PoolFixture.serving(2, SETTINGS);
    pool.allow("u1", true);
    pool.disallow("u2");
    pool.configure();
    assertThat(grants(pool.offer(ticket("a", 1)))).isEmpty();
    pool.allow("u1", false);
    assertThat(grants(pool.configure())).containsExactly("a@u1");
  }

  @Test
  void grantsNothingToUpstreamThatIsSilent() {
    PoolFixture pool = PoolFixture.serving(1, SETTINGS);
    pool.nowMs += PoolFixture.LIFETIME_MS;
    assertThat(grants(pool.offer(ticket("a", 1)))).isEmpty();
    assertThat(grants(pool.announce("u1", UpstreamPhase.SERVING))).containsExactly("a@u1");
  }

  @Test
  void grantsClaimedTicketsOnceTheirClaimIsCommitted() {
    PoolFixture pool = PoolFixture.serving(1, SETTINGS);
    List<SchedulerAction> actions = pool.offer(ticket("a", "c", 1, 100, 20, 0, true, List.of()));
    assertThat(grants(actions)).isEmpty();
    assertThat(actions).anyMatch(SchedulerAction.CommitClaim.class::isInstance);
    actions = pool.handle(new SchedulerEvent.ClaimGranted(new RequestId("a")));
    assertThat(grants(actions)).containsExactly("a@u1");
  }

  @Test
  void grantsDeclinedTicketElsewhere() {
    PoolFixture pool = PoolFixture.serving(2, SETTINGS);
    assertThat(grants(pool.offer(ticket("a", 1)))).containsExactly("a@u1");
    List<SchedulerAction> actions =
        pool.send(
            PoolFixture.VM,
            new EntryMessage.Declined(
                new RequestId("a"), new UpstreamId("u1"), DeclineReason.CONNECT_FAILED));
    assertThat(grants(actions)).containsExactly("a@u2");
  }

  // A VM has no valid session for a moment, after a process pause or a new configuration, and
  // declines a grant of the current leader. If the scheduler mistakes it for a grant of an earlier
  // leader, it counts the request as running while the VM waits, and the caller gets no answer.
  @Test
  void grantsAgainWhatItsVmGaveBackForWantOfSession() {
    PoolFixture pool = PoolFixture.serving(1, SETTINGS);
    assertThat(grants(pool.offer(ticket("a", 1)))).containsExactly("a@u1");
    List<SchedulerAction> actions =
        pool.send(
            PoolFixture.VM,
            new EntryMessage.Declined(
                new RequestId("a"), new UpstreamId("u1"), DeclineReason.NO_SESSION));
    assertThat(grants(actions)).isEmpty();
    pool.nowMs += 500;
    assertThat(grants(pool.announce("u1", UpstreamPhase.SERVING))).containsExactly("a@u1");
  }

  // An entry VM dies right after its requests were granted, so no message about them arrives. If
  // the upstream is mistaken for silent, it receives nothing new for half a minute; with one such
  // request on each upstream, the whole pool stalls.
  @Test
  void deadVmsRequestsDontMakeTheirUpstreamLookSilent() {
    PoolFixture pool = PoolFixture.serving(1, SETTINGS);
    assertThat(grants(pool.offer(ticket("a", 1)))).containsExactly("a@u1");
    pool.handle(new SchedulerEvent.VmSessionExpired(PoolFixture.VM));
    for (int second = 0; second < 5; second++) {
      pool.nowMs += 1_000;
      pool.announce("u1", UpstreamPhase.SERVING);
    }
    assertThat(grants(pool.offer(ticket("b", 1)))).containsExactly("b@u1");
  }

  @Test
  void neverGrantsAnEndedOrWithdrawnRequestAgain() {
    PoolFixture pool = PoolFixture.serving(1, SETTINGS);
    pool.offer(ticket("a", 1));
    pool.end("a", "u1");
    pool.send(
        PoolFixture.VM, new EntryMessage.Withdraw(new RequestId("b"), WithdrawReason.CALLER_GONE));
    assertThat(grants(pool.offer(ticket("a", 1)))).isEmpty();
    assertThat(grants(pool.offer(ticket("b", 1)))).isEmpty();
  }

  @Test
  void refusesTicketsOfRoutesThatAreNotConfigured() {
    PoolFixture pool = new PoolFixture(SETTINGS);
    assertThat(refusals(pool.offer(ticket("a", 1)))).containsExactly("a:UNKNOWN_POOL");
  }

  /**
   * Guards against an engine that fails every request immediately while healthy engines are idle.
   * Its slots are always free, so without a back-off each following request is granted there too.
   */
  @Test
  void keepsWorkAwayFromAnUpstreamThatFailsAtOnce() {
    PoolFixture pool = PoolFixture.serving(2, SETTINGS);
    assertThat(grants(pool.offer(ticket("a", 1)))).containsExactly("a@u1");
    pool.send(PoolFixture.VM, failed("a", "u1"));
    assertThat(grants(pool.offer(ticket("b", 1)))).containsExactly("b@u2");
    assertThat(grants(pool.offer(ticket("c", 1)))).containsExactly("c@u2");
    pool.nowMs += 1_000;
    assertThat(grants(pool.offer(ticket("d", 1)))).containsExactly("d@u1");
    assertThat(grants(pool.offer(ticket("e", 1)))).as("until one has worked").isEmpty();
  }

  private static EntryMessage failed(String request, String upstream) {
    return new EntryMessage.Ended(
        new RequestId(request), new UpstreamId(upstream), EndKind.FAILED, new Usage(100, 0, 0), 10);
  }

  /**
   * Guards against starvation of a long request by short ones of a lower tier. The long request
   * needs more capacity than a short one frees at its end, and without a reservation the next short
   * request takes that capacity at once.
   */
  @Test
  void keepsUpstreamFreeForLongTicketThatDoesNotFitYet() {
    PoolFixture pool = PoolFixture.serving(1, SETTINGS);
    int window = 100_000;
    pool.offer(ticket("a", "c2", 2, window - 2_000, 100, 0, false, List.of()));
    pool.offer(ticket("long", "c1", 1, window - 200, 100, 0, false, List.of()));
    assertThat(grants(pool.offer(ticket("short", 2)))).isEmpty();
    assertThat(grants(pool.end("a", "u1"))).containsExactly("long@u1");
  }

  /**
   * Guards against a caller that gets no answer to a refused request. The refusal is lost with the
   * connection to the VM, which offers the ticket again; the scheduler must not ignore that offer
   * because the request has ended.
   */
  @Test
  void repeatsRefusalThatWasLost() {
    PoolFixture pool = new PoolFixture(SETTINGS);
    pool.offer(ticket("a", 1));
    assertThat(refusals(pool.offer(ticket("a", 1)))).containsExactly("a:UNKNOWN_POOL");
  }

  /**
   * Guards against engine time wasted on an answer that misses its deadline. An engine with a free
   * slot is so busy with a long prompt that it can't answer in time, while another is free soon.
   */
  @Test
  void grantsNoUpstreamThatCannotAnswerInTime() {
    PoolFixture pool = PoolFixture.serving(1, SETTINGS);
    pool.offer(ticket("long", "c1", 1, 60_000, 100, 0, false, List.of()));
    List<SchedulerAction> actions =
        pool.offer(ticket("quick", "c1", 1, 100, 20, 1_000, false, List.of()));
    assertThat(grants(actions)).isEmpty();
    actions = pool.announce("u1", 2, UpstreamPhase.SERVING);
    assertThat(grants(actions)).containsExactly("quick@u1");
  }

  /**
   * Guards against requests that fail on an engine that shuts down. A VM declines a grant because
   * the engine is leaving, but the announcement of that reaches the scheduler later; meanwhile the
   * scheduler must not grant the engine again.
   */
  @Test
  void grantsNothingToUpstreamThatVmKnowsAsLeaving() {
    PoolFixture pool = PoolFixture.serving(1, SETTINGS);
    pool.offer(ticket("a", 1));
    pool.send(
        PoolFixture.VM,
        new EntryMessage.Declined(new RequestId("a"), new UpstreamId("u1"), DeclineReason.LEAVING));
    pool.nowMs += 2_500;
    assertThat(grants(pool.offer(ticket("b", 1)))).isEmpty();
    pool.announce("u1", UpstreamPhase.LEAVING);
    assertThat(grants(pool.tick())).isEmpty();
  }

  /**
   * Guards against a request sent to an engine that left seconds ago. The VM is paused when the
   * grant arrives, and meanwhile the engine announces that it is leaving. When the VM resumes and
   * offers the request again, the old grant must not be resent without a check of the engine's
   * phase.
   */
  @Test
  void lostGrantOfUpstreamThatHasLeftIsAskedBack() {
    PoolFixture pool = PoolFixture.serving(2, SETTINGS);
    assertThat(grants(pool.offer(ticket("a", 1)))).containsExactly("a@u1");
    pool.announce("u1", UpstreamPhase.LEAVING);
    List<SchedulerAction> again = pool.offer(ticket("a", 1));
    assertThat(grants(again)).isEmpty();
    assertThat(PoolFixture.sent(again, ControlMessage.Recall.class))
        .extracting(ControlMessage.Recall::upstream)
        .containsExactly(new UpstreamId("u1"));
    EntryMessage declined =
        new EntryMessage.Declined(new RequestId("a"), new UpstreamId("u1"), DeclineReason.LEAVING);
    assertThat(grants(pool.send(PoolFixture.VM, declined))).containsExactly("a@u2");
  }

  /** A withdrawal received after the dispatch is confirmed must not free the occupied slot. */
  @Test
  void keepsSlotOfDispatchedRequestThatIsWithdrawnTooLate() {
    PoolFixture pool = PoolFixture.serving(1, SETTINGS);
    pool.offer(ticket("a", 1));
    pool.offer(ticket("b", 1));
    pool.send(
        PoolFixture.VM, new EntryMessage.FirstToken(new RequestId("a"), new UpstreamId("u1"), 10));
    pool.send(
        PoolFixture.VM, new EntryMessage.Withdraw(new RequestId("a"), WithdrawReason.CALLER_GONE));
    assertThat(grants(pool.offer(ticket("c", 1)))).isEmpty();
  }

  /**
   * Guards against a request granted to two engines. Its VM loses its session, gets a new one and
   * offers the request again, so the grant is resent. If the grant is later still removed as that
   * of a VM whose session has expired, the next offer is granted elsewhere.
   */
  @Test
  void keepsGrantOfVmThatHasComeBack() {
    PoolFixture pool = PoolFixture.serving(2, SETTINGS);
    assertThat(grants(pool.offer(ticket("a", 1)))).containsExactly("a@u1");
    pool.handle(new SchedulerEvent.VmSessionExpired(PoolFixture.VM));
    assertThat(grants(pool.offer(ticket("a", 1)))).containsExactly("a@u1");
    pool.nowMs += SETTINGS.expiredSessionRetentionMs() + 1;
    pool.announce("u1", UpstreamPhase.SERVING);
    pool.announce("u2", UpstreamPhase.SERVING);
    pool.tick();
    assertThat(grants(pool.offer(ticket("a", 1)))).containsExactly("a@u1");
  }
}
