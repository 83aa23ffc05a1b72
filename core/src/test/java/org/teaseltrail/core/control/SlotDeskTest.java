package org.teaseltrail.core.control;

import static org.assertj.core.api.Assertions.assertThat;

import java.util.ArrayList;
import java.util.Collections;
import java.util.List;
import java.util.Map;
import org.junit.jupiter.api.Test;
import org.teaseltrail.core.forward.ForwardSamples;
import org.teaseltrail.core.id.UpstreamId;
import org.teaseltrail.core.id.VmId;
import org.teaseltrail.core.plan.TestPlans;
import org.teaseltrail.core.registry.Registration;
import org.teaseltrail.core.registry.RegistrationPhase;
import org.teaseltrail.core.serving.QueueState;
import org.teaseltrail.core.serving.ServingMessage;
import org.teaseltrail.core.serving.SlotUsage;
import org.teaseltrail.core.serving.Urgency;

/** Hands out free places over all entry VMs. */
class SlotDeskTest {

  private static final long MS = 1_000_000L;
  private static final VmId ONE = new VmId("entry-1");
  private static final VmId OTHER = new VmId("entry-2");
  private static final Urgency URGENT = new Urgency(1, false, 0);
  private static final Urgency LESS = new Urgency(1, false, 2);
  private static final Registration ENGINE = engine("e1", RegistrationPhase.READY);

  private final SlotAllocator desk = new SlotAllocator();
  private List<UpstreamId> slow = List.of();
  private Map<UpstreamId, Integer> unread = Map.of();
  private List<SlotUsage> held = List.of();

  private static Registration engine(String id, RegistrationPhase phase) {
    return engine(id, phase, 2);
  }

  private static Registration engine(String id, RegistrationPhase phase, int places) {
    return ForwardSamples.upstream(id, TestPlans.ENGINES, places).withPhase(phase);
  }

  private void tell(VmId vm, long seen, int inFlight, Urgency urgency, int waiting) {
    tell(vm, seen, inFlight, urgency, waiting, List.of());
  }

  private void tell(
      VmId vm, long seen, int inFlight, Urgency urgency, int waiting, List<UpstreamId> unwanted) {
    List<Long> waitedMs = Collections.nCopies(waiting, 100L);
    tell(vm, seen, inFlight, new QueueState.WaitTimes(urgency, waitedMs), unwanted);
  }

  private void tell(
      VmId vm, long seen, int inFlight, QueueState.WaitTimes waiting, List<UpstreamId> unwanted) {
    QueueState line = new QueueState(TestPlans.ENGINES, List.of(waiting), unwanted, slow);
    Map<UpstreamId, Integer> there = Map.of(ENGINE.id(), inFlight);
    desk.lines(new ServingMessage.Lines(vm, seen, there, unread, held, List.of(line)), 0);
  }

  private List<VmId> granted(long nowMs, Registration... upstreams) {
    return desk.allocate(TestPlans.ENGINES, List.of(upstreams), nowMs * MS).stream()
        .map(SlotAllocator.Grant::vm)
        .toList();
  }

  /**
   * A place becomes free where a quick question's VM sees it first, while a long review of the same
   * customer, of the highest rank, waits at another VM and misses its objective.
   */
  @Test
  void theMostUrgentOfAllVmsGoesFirst() {
    tell(ONE, 0, 1, LESS, 3);
    tell(OTHER, 0, 0, URGENT, 1);
    assertThat(granted(0, ENGINE)).containsExactly(OTHER);
  }

  /**
   * An upstream comes while many requests wait. Each VM saw it empty and sent all it had there, far
   * beyond its places.
   */
  @Test
  void handsOutNoMorePlacesThanThereAre() {
    tell(ONE, 0, 0, LESS, 5);
    tell(OTHER, 0, 0, LESS, 5);
    assertThat(granted(0, ENGINE)).hasSize(2);
    assertThat(granted(1, ENGINE)).isEmpty();
  }

  @Test
  void grantThatWasUsedCountsOnce() {
    tell(ONE, 0, 0, LESS, 2);
    assertThat(granted(0, ENGINE)).hasSize(2);
    tell(ONE, 2, 1, LESS, 1);
    assertThat(granted(1, ENGINE)).containsExactly(ONE);
  }

  @Test
  void lostGrantIsHandedOutAgain() {
    tell(ONE, 0, 0, LESS, 2);
    assertThat(granted(0, ENGINE)).hasSize(2);
    assertThat(granted(301, ENGINE)).hasSize(2);
  }

  /**
   * A VM is cut off while requests wait there. Its line stayed at the leader for three seconds, the
   * first of all, and half of the places went to it for nothing while others waited.
   */
  @Test
  void vmThatIsCutOffGetsNoPlaces() {
    tell(ONE, 0, 0, URGENT, 2);
    assertThat(granted(0, ENGINE)).containsExactly(ONE, ONE);
    desk.heard(OTHER, Map.of(), 700 * MS);
    QueueState line =
        new QueueState(
            TestPlans.ENGINES,
            List.of(new QueueState.WaitTimes(LESS, List.of(10L, 10L))),
            List.of(),
            List.of());
    desk.lines(
        new ServingMessage.Lines(OTHER, 0, Map.of(), Map.of(), List.of(), List.of(line)), 700 * MS);
    assertThat(granted(700, ENGINE)).containsExactly(OTHER, OTHER);
  }

  @Test
  void leavingUpstreamGetsNothing() {
    tell(ONE, 0, 0, LESS, 2);
    assertThat(granted(0, engine("e1", RegistrationPhase.DRAINING))).isEmpty();
  }

  @Test
  void goesToTheNextVmIfOneCannotUseThePlace() {
    tell(ONE, 0, 0, URGENT, 1, List.of(ENGINE.id()));
    tell(OTHER, 0, 1, LESS, 1);
    assertThat(granted(0, ENGINE)).containsExactly(OTHER);
  }

  @Test
  void contentionEndsAfterTheLastWaitingRequest() {
    tell(ONE, 0, 0, LESS, 1);
    assertThat(desk.contended(499 * MS)).containsExactly(TestPlans.ENGINES);
    assertThat(desk.contended(500 * MS)).isEmpty();
  }

  /**
   * There is more load than fits for long, and the least urgent kind of request is never served,
   * though it takes little of the places.
   */
  @Test
  void oneOfSomePlacesGoesToTheLeastUrgentKind() {
    int least = 0;
    for (int i = 0; i < 20; i++) {
      tell(ONE, i, 1, URGENT, 9);
      tell(OTHER, i, 0, LESS, 9);
      least += granted(0, ENGINE).contains(OTHER) ? 1 : 0;
    }
    assertThat(least).isEqualTo(5);
  }

  @Test
  void lateRequestsGiveWayWhateverTheirKind() {
    Urgency late = new Urgency(1, true, 0);
    for (int i = 0; i < 8; i++) {
      tell(ONE, i, 1, late, 9);
      tell(OTHER, i, 0, LESS, 9);
      assertThat(granted(0, ENGINE)).containsExactly(OTHER);
    }
  }

  /**
   * Callers of one data centre are served and those of others are not: among equally urgent
   * requests the VM whose name comes first got every place.
   */
  @Test
  void equallyUrgentRequestsGoInTheOrderInWhichTheyCame() {
    tell(ONE, 0, 1, new QueueState.WaitTimes(LESS, List.of(30L, 10L)), List.of());
    tell(OTHER, 0, 0, new QueueState.WaitTimes(LESS, List.of(90L, 20L)), List.of());
    assertThat(granted(0, ENGINE)).containsExactly(OTHER);
    tell(OTHER, 1, 0, new QueueState.WaitTimes(LESS, List.of(20L)), List.of());
    assertThat(granted(0, ENGINE)).containsExactly(ONE);
  }

  /**
   * Two long prompts reach a slow upstream one right after the other. While it reads them, all its
   * streams pause longer than callers accept.
   */
  @Test
  void slowUpstreamReadsOnePromptAfterTheOther() {
    slow = List.of(ENGINE.id());
    tell(ONE, 0, 0, LESS, 2);
    assertThat(granted(0, ENGINE)).hasSize(1);
    unread = Map.of(ENGINE.id(), 1);
    tell(ONE, 1, 1, LESS, 1);
    assertThat(granted(1, ENGINE)).isEmpty();
    unread = Map.of();
    tell(ONE, 1, 1, LESS, 1);
    assertThat(granted(2, ENGINE)).hasSize(1);
  }

  /**
   * In a burst short urgent requests wait while long ones of the least urgent kind hold half of the
   * places. One of four places went to these, and each they held four times as long. The load: more
   * of both than fits for ten seconds; times as of a short and a long stream, 0.3 and 1.2 s.
   */
  @Test
  void leastUrgentKindDoesNotComeToHoldMostPlaces() {
    Registration engine = engine("e1", RegistrationPhase.READY, 20);
    List<Long> urgentEndsMs = new ArrayList<>();
    List<Long> longEndsMs = new ArrayList<>();
    long heldByLong = 0;
    long seen = 0;
    for (long ms = 0; ms < 10_000; ms += 10) {
      long now = ms;
      urgentEndsMs.removeIf(endMs -> endMs <= now);
      longEndsMs.removeIf(endMs -> endMs <= now);
      held =
          List.of(
              new SlotUsage(TestPlans.ENGINES, URGENT.routeRank(), urgentEndsMs.size()),
              new SlotUsage(TestPlans.ENGINES, LESS.routeRank(), longEndsMs.size()));
      tellBoth(seen, urgentEndsMs.size() + longEndsMs.size(), ms);
      for (SlotAllocator.Grant grant : desk.allocate(TestPlans.ENGINES, List.of(engine), ms * MS)) {
        seen = grant.sequence();
        boolean isLong = grant.urgency().equals(LESS);
        (isLong ? longEndsMs : urgentEndsMs).add(ms + (isLong ? 1_200 : 300));
      }
      heldByLong += longEndsMs.size();
    }
    assertThat(heldByLong / 1_000.0).isBetween(0.15 * 20, 0.3 * 20);
  }

  private void tellBoth(long seen, int inFlight, long nowMs) {
    List<Long> waitedMs = Collections.nCopies(50, 100L);
    QueueState line =
        new QueueState(
            TestPlans.ENGINES,
            List.of(
                new QueueState.WaitTimes(URGENT, waitedMs),
                new QueueState.WaitTimes(LESS, waitedMs)),
            List.of(),
            List.of());
    Map<UpstreamId, Integer> there = Map.of(ENGINE.id(), inFlight);
    desk.lines(new ServingMessage.Lines(ONE, seen, there, unread, held, List.of(line)), nowMs * MS);
  }
}
