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
 * Simulates a burst on several entry VMs while no member leads: many users send requests at once
 * while the leader is paused. There are nine VMs and thirteen engines of seven slots, as in the
 * smallest deployment with the shortest streams; a request takes 0.3 s, the service time of its
 * most frequent kind; and there are 500 requests a second, almost twice what the 91 slots of the
 * engines can serve, of which the first VM receives as many as three others.
 */
class SlotsWithoutLeaderTest {

  private static final long MS = 1_000_000L;
  private static final int VMS = 9;
  private static final int ENGINES = 13;
  private static final int SLOTS = 7;
  private static final int SERVICE_TIME_MS = 300;
  private static final FencingNumber TERM = new FencingNumber(1);

  private record End(long atMs, int vm, long request, UpstreamId upstream) {}

  private final List<ForwardNode> nodes = new ArrayList<>();
  private final List<Registration> engines = new ArrayList<>();
  private final SlotShareAllocator shares = new SlotShareAllocator();
  private final PriorityQueue<End> ends =
      new PriorityQueue<>((one, other) -> Long.compare(one.atMs(), other.atMs()));
  private final Map<UpstreamId, Integer> inFlightByEngine = new HashMap<>();
  private final Map<VmId, Map<UpstreamId, Integer>> inFlightByVm = new HashMap<>();
  private final SplittableRandom random = new SplittableRandom(7);
  private long lastRequest;
  private int maxAtOneEngine;
  private int served;

  @BeforeEach
  void start() {
    for (int i = 0; i < ENGINES; i++) {
      engines.add(ForwardSamples.upstream("e" + i, TestPlans.ENGINES, SLOTS));
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

  private void simulate(long fromMs, long untilMs, int perSecond, boolean hasLeader) {
    for (long ms = fromMs; ms < untilMs; ms++) {
      end(ms);
      for (int i = 0; i < VMS; i++) {
        tick(i, hasLeader, ms);
      }
      if (random.nextInt(1_000) < perSecond) {
        int drawn = random.nextInt(VMS + 2);
        int vm = drawn < VMS ? drawn : 0;
        execute(vm, nodes.get(vm).onRequest(request(), ms * MS), ms);
      }
    }
  }

  private void end(long ms) {
    while (!ends.isEmpty() && ends.peek().atMs() <= ms) {
      End end = ends.poll();
      inFlightByEngine.merge(end.upstream(), -1, Integer::sum);
      inFlightByVm.get(vm(end.vm())).merge(end.upstream(), -1, Integer::sum);
      served++;
      ForwardNode node = nodes.get(end.vm());
      execute(end.vm(), node.onAttemptEnded(end.request(), AttemptOutcome.ANSWERED, ms * MS), ms);
    }
  }

  private void tick(int vm, boolean hasLeader, long ms) {
    for (ForwardAction action : nodes.get(vm).tick(ms * MS)) {
      execute(vm, List.of(action), ms);
      if (hasLeader
          && action instanceof ForwardAction.SendControl send
          && send.message() instanceof ServingMessage.Sync sync) {
        execute(vm, nodes.get(vm).onControlMessage(confirmation(sync, ms), ms * MS), ms);
      }
    }
  }

  private ServingReply confirmation(ServingMessage.Sync sync, long ms) {
    int wanted = sync.inFlight().values().stream().mapToInt(Integer::intValue).sum();
    shares.heard(sync.vm(), Map.of(TestPlans.ENGINES, wanted));
    Map<UpstreamId, Integer> elsewhere = new HashMap<>();
    inFlightByVm.forEach(
        (id, counts) -> {
          if (!id.equals(sync.vm())) {
            counts.forEach((upstream, count) -> elsewhere.merge(upstream, count, Integer::sum));
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

  private void execute(int vm, List<ForwardAction> actions, long ms) {
    for (ForwardAction action : actions) {
      if (action instanceof ForwardAction.Dispatch dispatch) {
        UpstreamId upstream = dispatch.upstream().id();
        maxAtOneEngine =
            Math.max(maxAtOneEngine, inFlightByEngine.merge(upstream, 1, Integer::sum));
        inFlightByVm
            .computeIfAbsent(vm(vm), id -> new HashMap<>())
            .merge(upstream, 1, Integer::sum);
        ends.add(new End(ms + SERVICE_TIME_MS, vm, dispatch.request(), upstream));
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
   * The leader is paused, and half a second later twice as many requests arrive as the engines can
   * serve. If each VM knew only its own requests, each would fill the engines alone, with up to
   * three times their slots, and each first event would be late.
   */
  @Test
  void vmsNeverExceedSlotsOfAnEngine() {
    simulate(0, 2_000, 100, true);
    simulate(2_000, 2_500, 100, false);
    maxAtOneEngine = 0;
    int servedBefore = served;
    simulate(2_500, 4_500, 500, false);
    assertThat(maxAtOneEngine).isLessThanOrEqualTo(SLOTS);
    double servedPerSecond = (served - servedBefore) / 2.0;
    double maxPerSecond = ENGINES * SLOTS * 1_000.0 / SERVICE_TIME_MS;
    assertThat(servedPerSecond).isGreaterThan(0.7 * maxPerSecond);
  }

  /**
   * Under the usual load the shares must not reduce throughput: each VM's own share is sufficient.
   */
  @Test
  void usualLoadIsServedWithoutLeaderToo() {
    simulate(0, 2_000, 100, true);
    int requestsBefore = (int) lastRequest;
    int servedBefore = served;
    simulate(2_000, 4_500, 100, false);
    assertThat(served - servedBefore).isGreaterThan((int) (0.95 * (lastRequest - requestsBefore)));
  }

  @Test
  void eachVmGetsSlotsByDemandAndAtLeastOne() {
    for (int i = 0; i < 40; i++) {
      shares.heard(vm(0), Map.of(TestPlans.ENGINES, 60));
      shares.heard(vm(1), Map.of(TestPlans.ENGINES, 20));
      shares.heard(vm(2), Map.of());
    }
    Map<VmId, Integer> slotsByVm = new HashMap<>();
    Map<UpstreamId, Integer> byEngine = new HashMap<>();
    for (int i = 0; i < 3; i++) {
      Map<UpstreamId, Integer> part = shares.sharesOf(vm(i), registry(), MS);
      slotsByVm.put(vm(i), part.values().stream().mapToInt(Integer::intValue).sum());
      part.forEach((engine, places) -> byEngine.merge(engine, places, Integer::sum));
    }
    assertThat(slotsByVm.get(vm(0))).isBetween(55, 65);
    assertThat(slotsByVm.get(vm(1))).isBetween(18, 28);
    assertThat(slotsByVm.get(vm(2))).isBetween(1, 8);
    assertThat(byEngine.values()).allMatch(places -> places <= SLOTS);
  }
}
