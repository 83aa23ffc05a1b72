package org.teaseltrail.core.control;

import static org.assertj.core.api.Assertions.assertThat;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.OptionalInt;
import java.util.OptionalLong;
import java.util.PriorityQueue;
import java.util.SplittableRandom;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;
import org.teaseltrail.core.forward.AttemptOutcome;
import org.teaseltrail.core.forward.ForwardAction;
import org.teaseltrail.core.forward.ForwardNode;
import org.teaseltrail.core.forward.ForwardRequest;
import org.teaseltrail.core.forward.ForwardSamples;
import org.teaseltrail.core.id.FencingNumber;
import org.teaseltrail.core.id.UpstreamId;
import org.teaseltrail.core.id.VmId;
import org.teaseltrail.core.plan.TestPlans;
import org.teaseltrail.core.quarantine.RequestContent;
import org.teaseltrail.core.registry.Registration;
import org.teaseltrail.core.registry.UpstreamRegistry;
import org.teaseltrail.core.serving.ServingMessage;
import org.teaseltrail.core.serving.ServingReply;
import org.teaseltrail.core.serving.UpstreamSlots;

/**
 * Plays a burst on several entry VMs while no member leads. The pattern: many users come at once
 * while the leader is frozen. Figures: nine VMs before thirteen engines of seven places, as the
 * smallest deployment with the shortest streams has them; 0.3 s for a request, the time of its most
 * frequent kind; 500 requests a second, nearly twice what the engines' 91 places can serve, of
 * which the first VM gets as much as three others.
 */
class PlacesWithoutLeaderTest {

  private static final long MS = 1_000_000L;
  private static final int VMS = 9;
  private static final int ENGINES = 13;
  private static final int PLACES = 7;
  private static final int HELD_MS = 300;
  private static final FencingNumber TERM = new FencingNumber(1);

  private record End(long atMs, int vm, long request, UpstreamId upstream) {}

  private final List<ForwardNode> nodes = new ArrayList<>();
  private final List<Registration> engines = new ArrayList<>();
  private final SlotShareAllocator shares = new SlotShareAllocator();
  private final PriorityQueue<End> ends =
      new PriorityQueue<>((one, other) -> Long.compare(one.atMs(), other.atMs()));
  private final Map<UpstreamId, Integer> atEngines = new HashMap<>();
  private final Map<VmId, Map<UpstreamId, Integer>> atVms = new HashMap<>();
  private final SplittableRandom random = new SplittableRandom(7);
  private long lastRequest;
  private int mostAtOne;
  private int served;

  @BeforeEach
  void start() {
    for (int i = 0; i < ENGINES; i++) {
      engines.add(ForwardSamples.upstream("e" + i, TestPlans.ENGINES, PLACES));
    }
    for (int i = 0; i < VMS; i++) {
      ForwardNode node = new ForwardNode(ForwardSamples.settings(vm(i), 1));
      node.onControlMessage(new ServingReply.PlanUpdate(TERM, TestPlans.plan(1)), 0);
      node.onControlMessage(new ServingReply.RegistryUpdate(TERM, 1, engines), 0);
      nodes.add(node);
    }
  }

  private static VmId vm(int number) {
    return new VmId("entry-" + number);
  }

  private UpstreamRegistry registry() {
    return new UpstreamRegistry(1, engines);
  }

  private void play(long fromMs, long untilMs, int perSecond, boolean leads) {
    for (long ms = fromMs; ms < untilMs; ms++) {
      end(ms);
      for (int i = 0; i < VMS; i++) {
        tick(i, leads, ms);
      }
      if (random.nextInt(1_000) < perSecond) {
        int drawn = random.nextInt(VMS + 2);
        int vm = drawn < VMS ? drawn : 0;
        carryOut(vm, nodes.get(vm).onRequest(request(), ms * MS), ms);
      }
    }
  }

  private void end(long ms) {
    while (!ends.isEmpty() && ends.peek().atMs() <= ms) {
      End end = ends.poll();
      atEngines.merge(end.upstream(), -1, Integer::sum);
      atVms.get(vm(end.vm())).merge(end.upstream(), -1, Integer::sum);
      served++;
      ForwardNode node = nodes.get(end.vm());
      carryOut(end.vm(), node.onAttemptEnded(end.request(), AttemptOutcome.ANSWERED, ms * MS), ms);
    }
  }

  private void tick(int vm, boolean leads, long ms) {
    for (ForwardAction action : nodes.get(vm).tick(ms * MS)) {
      carryOut(vm, List.of(action), ms);
      if (leads
          && action instanceof ForwardAction.SendControl send
          && send.message() instanceof ServingMessage.Sync sync) {
        carryOut(vm, nodes.get(vm).onControlMessage(confirmation(sync, ms), ms * MS), ms);
      }
    }
  }

  private ServingReply confirmation(ServingMessage.Sync sync, long ms) {
    int wanted = sync.inFlight().values().stream().mapToInt(Integer::intValue).sum();
    shares.heard(sync.vm(), Map.of(TestPlans.ENGINES, wanted));
    Map<UpstreamId, Integer> elsewhere = new HashMap<>();
    atVms.forEach(
        (id, there) -> {
          if (!id.equals(sync.vm())) {
            there.forEach((upstream, count) -> elsewhere.merge(upstream, count, Integer::sum));
          }
        });
    return new ServingReply.Confirmed(
        TERM,
        sync.sequence(),
        1,
        1,
        VMS,
        List.of(ForwardSamples.MEMBER),
        UpstreamSlots.of(
            registry().present(), elsewhere, shares.sharesOf(sync.vm(), registry(), ms * MS)),
        List.of(),
        List.of());
  }

  private void carryOut(int vm, List<ForwardAction> actions, long ms) {
    for (ForwardAction action : actions) {
      if (action instanceof ForwardAction.Dispatch dispatch) {
        UpstreamId upstream = dispatch.upstream().id();
        mostAtOne = Math.max(mostAtOne, atEngines.merge(upstream, 1, Integer::sum));
        atVms.computeIfAbsent(vm(vm), id -> new HashMap<>()).merge(upstream, 1, Integer::sum);
        ends.add(new End(ms + HELD_MS, vm, dispatch.request(), upstream));
      }
    }
  }

  private ForwardRequest request() {
    lastRequest++;
    return new ForwardRequest(
        lastRequest,
        "id-" + lastRequest,
        TestPlans.HOST,
        "/stream/x",
        Optional.of(TestPlans.KEY),
        OptionalLong.of(4_000),
        OptionalInt.of(1_000),
        OptionalInt.of(100),
        List.of(),
        RequestContent.EMPTY);
  }

  /**
   * The leader freezes, and half a second later twice as many callers come as the engines have
   * places for. Each VM knew only its own requests and filled the engines alone: up to three times
   * their places, and every first event came late.
   */
  @Test
  void vmsNeverFillAnEngineBeyondItsPlaces() {
    play(0, 2_000, 100, true);
    play(2_000, 2_500, 100, false);
    mostAtOne = 0;
    int servedBefore = served;
    play(2_500, 4_500, 500, false);
    assertThat(mostAtOne).isLessThanOrEqualTo(PLACES);
    double servedPerSecond = (served - servedBefore) / 2.0;
    double mostPerSecond = ENGINES * PLACES * 1_000.0 / HELD_MS;
    assertThat(servedPerSecond).isGreaterThan(0.7 * mostPerSecond);
  }

  /** While the load is usual the parts must cost nothing: each VM's own has room enough. */
  @Test
  void usualLoadIsServedWithoutLeaderToo() {
    play(0, 2_000, 100, true);
    int askedBefore = (int) lastRequest;
    int servedBefore = served;
    play(2_000, 4_500, 100, false);
    assertThat(served - servedBefore).isGreaterThan((int) (0.95 * (lastRequest - askedBefore)));
  }

  @Test
  void eachVmGetsPlacesByWhatItWantsAndOneAtLeast() {
    for (int i = 0; i < 40; i++) {
      shares.heard(vm(0), Map.of(TestPlans.ENGINES, 60));
      shares.heard(vm(1), Map.of(TestPlans.ENGINES, 20));
      shares.heard(vm(2), Map.of());
    }
    Map<VmId, Integer> dealt = new HashMap<>();
    Map<UpstreamId, Integer> byEngine = new HashMap<>();
    for (int i = 0; i < 3; i++) {
      Map<UpstreamId, Integer> part = shares.sharesOf(vm(i), registry(), MS);
      dealt.put(vm(i), part.values().stream().mapToInt(Integer::intValue).sum());
      part.forEach((engine, places) -> byEngine.merge(engine, places, Integer::sum));
    }
    assertThat(dealt.get(vm(0))).isBetween(55, 65);
    assertThat(dealt.get(vm(1))).isBetween(18, 28);
    assertThat(dealt.get(vm(2))).isBetween(1, 8);
    assertThat(byEngine.values()).allMatch(places -> places <= PLACES);
  }
}
