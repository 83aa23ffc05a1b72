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

  // A VM thaws, or applies a new configuration, and has no valid session for a moment. It gives the
  // leader's own grant back. A scheduler that took this for an older leader's grant would count the
  // request as running, its VM as waiting: the caller would never get an answer.
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

  // An entry VM dies right after its requests were granted. Nothing is heard of them, which isn't
  // the upstream's fault; taken for silent it would get nothing new for half a minute, and with one
  // such request on each upstream the whole pool would stand still.
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
   * Callers see a row of failed answers while healthy engines idle. An engine fails all it is given
   * at once, so its slots are always free, and each next request goes there too. The cause: free
   * slots were taken for a sign of health.
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
   * The caller of a long report waits for ever while short requests of a lower tier go by. The
   * report needs more room than one short answer leaves when it ends, and the next short request
   * takes that room at once. The cause: no one kept the room for the report.
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
   * A caller gets no answer although its request was refused. The refusal was lost with the
   * connection to its VM, which offers the ticket again, and the scheduler says nothing about a
   * request that it has settled.
   */
  @Test
  void repeatsRefusalThatWasLost() {
    PoolFixture pool = new PoolFixture(SETTINGS);
    pool.offer(ticket("a", 1));
    assertThat(refusals(pool.offer(ticket("a", 1)))).containsExactly("a:UNKNOWN_POOL");
  }

  /**
   * A caller hangs up while its answer is half done, and the work was for nothing. A free engine
   * was so busy with a long prompt that it could not answer in time; another would be free soon.
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
   * Requests fail on an engine that shuts down. One VM has heard that it leaves and gives its grant
   * back; the announcement reaches the scheduler later, and meanwhile it grants there again.
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
   * A request is sent to an engine that left seconds ago. Its VM was frozen when the grant came;
   * meanwhile the engine announced that it leaves. The VM thaws and offers the request again, and
   * the old grant was sent once more without a look at the engine.
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

  /** A withdrawal that comes after the proof of the dispatch must not free a slot that is taken. */
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
   * A request is granted to two engines. Its VM lost its session, came back and offered the request
   * again, so the grant was sent again; half a minute later the account dropped the grant as that
   * of a lapsed VM, and the next offer was granted elsewhere.
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
