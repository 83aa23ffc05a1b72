package org.teaseltrail.core.forward;

import static org.assertj.core.api.Assertions.assertThat;

import java.util.ArrayList;
import java.util.Collections;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.OptionalInt;
import java.util.OptionalLong;
import org.junit.jupiter.api.Test;
import org.teaseltrail.core.contention.ContentionSettings;
import org.teaseltrail.core.contention.FeatureMode;
import org.teaseltrail.core.id.FencingNumber;
import org.teaseltrail.core.id.ServiceId;
import org.teaseltrail.core.id.UpstreamVersion;
import org.teaseltrail.core.id.VmId;
import org.teaseltrail.core.plan.TestPlans;
import org.teaseltrail.core.quarantine.RequestContent;
import org.teaseltrail.core.registry.Registration;
import org.teaseltrail.core.rollout.CanaryAllowance;
import org.teaseltrail.core.rollout.ExposureCounters;
import org.teaseltrail.core.rollout.Rollout;
import org.teaseltrail.core.rollout.RolloutOrder;
import org.teaseltrail.core.rollout.RolloutPhase;
import org.teaseltrail.core.rollout.RolloutReason;
import org.teaseltrail.core.serving.ServingMessage;
import org.teaseltrail.core.serving.ServingReply;
import org.teaseltrail.core.serving.UpstreamSlots;
import org.teaseltrail.core.serving.Urgency;

/** Tests which upstreams an entry VM uses by itself where slots are dealt. */
class DealtSlotFilterTest {

  private static final long MS = 1_000_000L;
  private static final FencingNumber TERM = new FencingNumber(1);
  private static final int SLOTS = 5;

  private final Registration first = upstream("e1", TestPlans.ENGINES);
  private final Registration second = upstream("e2", TestPlans.ENGINES);
  private final Registration third = upstream("e3", TestPlans.ENGINES);
  private ForwardNode node;
  private long nowNs = MS;
  private long lastNumber;
  private long sequence;

  private static Registration upstream(String id, ServiceId service) {
    return ForwardSamples.upstream(id, service, SLOTS);
  }

  private void start(FeatureMode dealtSlots, String vm, long seed) {
    ForwardSettings usual =
        ForwardSamples.settings(new VmId(vm), 1, List.of(ForwardSamples.MEMBER), seed);
    node =
        new ForwardNode(
            new ForwardSettings(
                usual.vm(),
                usual.incarnation(),
                usual.seeds(),
                usual.sessionLifetimeMs(),
                usual.syncIntervalMs(),
                usual.retryRatio(),
                usual.retryWindowMs(),
                usual.retrySlack(),
                usual.quotas(),
                new ContentionSettings(
                    FeatureMode.OFF, FeatureMode.OFF, FeatureMode.OFF, dealtSlots),
                usual.relay(),
                seed));
    node.start();
    node.onControlMessage(new ServingReply.PlanUpdate(TERM, TestPlans.plan(1)), nowNs);
  }

  private List<ForwardAction> register(long revision, Registration... present) {
    return node.onControlMessage(
        new ServingReply.RegistryUpdate(TERM, revision, List.of(present)), nowNs);
  }

  private List<ForwardAction> confirm(long revision, UpstreamSlots places, ServiceId... contended) {
    for (ForwardAction action : node.tick(nowNs)) {
      if (action instanceof ForwardAction.SendControl send
          && send.message() instanceof ServingMessage.Sync sync) {
        sequence = sync.sequence();
      }
    }
    return node.onControlMessage(
        new ServingReply.Confirmed(
            TERM,
            sequence,
            1,
            revision,
            96,
            List.of(ForwardSamples.MEMBER),
            places,
            List.of(contended),
            List.of()),
        nowNs);
  }

  private List<ForwardAction> arrive(String path) {
    lastNumber++;
    return node.onRequest(
        new ForwardRequest(
            lastNumber,
            "id-" + lastNumber,
            TestPlans.HOST,
            path,
            Optional.of(TestPlans.KEY),
            OptionalLong.of(4_000),
            OptionalInt.of(1_000),
            OptionalInt.of(100),
            List.of(),
            RequestContent.EMPTY),
        nowNs);
  }

  private static List<String> dispatches(List<ForwardAction> actions) {
    return actions.stream()
        .filter(ForwardAction.Dispatch.class::isInstance)
        .map(action -> ((ForwardAction.Dispatch) action).upstream().id().value())
        .toList();
  }

  private List<String> arriveTimes(int count, String path) {
    List<String> dispatched = new ArrayList<>();
    for (int i = 0; i < count; i++) {
      dispatched.addAll(dispatches(arrive(path)));
    }
    return dispatched;
  }

  private static UpstreamSlots slots(List<Integer> elsewhere, List<Integer> dealt) {
    return new UpstreamSlots(elsewhere, dealt);
  }

  /** All VMs see the emptiest engine: only those to which its slots were dealt may use it. */
  @Test
  void onlyDealtSlotsAreUsedWithoutAsking() {
    start(FeatureMode.ON, "entry-1", 1);
    register(1, first, second, third);
    confirm(1, slots(List.of(3, 0, 2), List.of(1, 0, 1)));
    assertThat(arriveTimes(4, "/stream/x")).containsExactlyInAnyOrder("e1", "e3");
    assertThat(node.dealtSlotUsage()).isEqualTo(new DealtSlotUsage(2, 2, 0));
    List<ForwardAction> granted =
        node.onControlMessage(
            new ServingReply.SlotGrant(
                TERM,
                1,
                TestPlans.ENGINES,
                second.id(),
                new Urgency(1, false, 0),
                Optional.empty()),
            nowNs);
    assertThat(dispatches(granted)).containsExactly("e2");
    assertThat(node.dealtSlotUsage()).isEqualTo(new DealtSlotUsage(2, 2, 1));
  }

  /** Engines come back and all VMs see them empty: they get nothing before they are dealt. */
  @Test
  void newUpstreamGetsNothingBeforeItsSlotsAreDealt() {
    start(FeatureMode.ON, "entry-1", 1);
    register(1, first);
    confirm(1, slots(List.of(0), List.of(1)));
    register(2, first, second);
    assertThat(arriveTimes(3, "/stream/x")).containsExactly("e1");
    nowNs += 250 * MS;
    assertThat(dispatches(confirm(2, slots(List.of(0, 0), List.of(1, 1))))).containsExactly("e2");
  }

  /** The leader freezes: the waiting line must not go to the engines of an old picture. */
  @Test
  void waitingLineIsServedWithinOwnPartOnceTheLeaderIsSilent() {
    start(FeatureMode.ON, "entry-1", 1);
    register(1, first, second, third);
    confirm(1, slots(List.of(0, 0, 0), List.of(1, 0, 2)), TestPlans.ENGINES);
    assertThat(arriveTimes(6, "/stream/x")).isEmpty();
    nowNs += 300 * MS;
    assertThat(dispatches(node.tick(nowNs))).isEmpty();
    nowNs += MS;
    assertThat(dispatches(node.tick(nowNs))).containsExactlyInAnyOrder("e1", "e3", "e3");
    nowNs += 500 * MS;
    assertThat(dispatches(node.tick(nowNs))).isEmpty();
  }

  /** The leader is lost while this VM uses slots dealt to others: it leaves as many of its own. */
  @Test
  void grantedSlotsCountAsOwnOnceTheLeaderIsSilent() {
    start(FeatureMode.ON, "entry-1", 1);
    register(1, first, second, third);
    confirm(1, slots(List.of(0, 0, 0), List.of(1, 0, 1)), TestPlans.ENGINES);
    arrive("/stream/x");
    node.onControlMessage(
        new ServingReply.SlotGrant(
            TERM, 1, TestPlans.ENGINES, second.id(), new Urgency(1, false, 0), Optional.empty()),
        nowNs);
    arriveTimes(3, "/stream/x");
    nowNs += 301 * MS;
    assertThat(dispatches(node.tick(nowNs))).hasSize(1).isSubsetOf("e1", "e3");
  }

  /** A report that was lost must not leave a request waiting until its time is over. */
  @Test
  void waitingRequestsAreReportedWithEachSync() {
    start(FeatureMode.ON, "entry-1", 1);
    register(1, first, second);
    confirm(1, slots(List.of(0, 0), List.of(1, 0)));
    arriveTimes(2, "/stream/x");
    int reports = 0;
    for (int i = 0; i < 1_000; i++) {
      nowNs += MS;
      for (ForwardAction action : node.tick(nowNs)) {
        boolean isReport =
            action instanceof ForwardAction.SendControl send
                && send.message() instanceof ServingMessage.Lines;
        reports += isReport ? 1 : 0;
      }
    }
    assertThat(reports).isGreaterThanOrEqualTo(2);
  }

  /** The leader must learn that nobody waits any longer, or it grants slots that nobody uses. */
  @Test
  void emptyQueueIsReportedOnce() {
    start(FeatureMode.ON, "entry-1", 1);
    register(1, first, second);
    confirm(1, slots(List.of(0, 0), List.of(1, 0)));
    arriveTimes(2, "/stream/x");
    List<ForwardAction> ended = node.onAttemptEnded(1, AttemptOutcome.ANSWERED, nowNs);
    assertThat(dispatches(ended)).containsExactly("e1");
    assertThat(queuesReported(ended)).containsExactly(0);
    assertThat(queuesReported(node.onAttemptEnded(2, AttemptOutcome.ANSWERED, nowNs))).isEmpty();
  }

  private static List<Integer> queuesReported(List<ForwardAction> actions) {
    return actions.stream()
        .filter(ForwardAction.SendControl.class::isInstance)
        .map(action -> ((ForwardAction.SendControl) action).message())
        .filter(ServingMessage.Lines.class::isInstance)
        .map(message -> ((ServingMessage.Lines) message).lines().size())
        .toList();
  }

  /**
   * 96 VMs with the same picture each send one request to three plain upstreams: none may get more
   * than twice its part of the free room.
   */
  @Test
  void requestsForPlainServiceAreSpreadOverTheFreeRoom() {
    Map<String, Integer> counts = new HashMap<>();
    for (int vm = 0; vm < 96; vm++) {
      start(FeatureMode.ON, "entry-" + vm, vm);
      register(
          1,
          upstream("p1", TestPlans.PLAIN),
          upstream("p2", TestPlans.PLAIN),
          upstream("p3", TestPlans.PLAIN));
      confirm(1, slots(List.of(7, 4, 1), List.of(1, 1, 1)));
      dispatches(arrive("/safe/x")).forEach(id -> counts.merge(id, 1, Integer::sum));
    }
    assertThat(counts.values().stream().mapToInt(Integer::intValue).sum()).isEqualTo(96);
    assertThat(Collections.max(counts.values())).isLessThan(2 * 96 * 9 / 18);
    assertThat(counts).containsOnlyKeys("p1", "p2", "p3");
    assertThat(counts.get("p1")).isLessThan(counts.get("p3"));
  }

  /** A rollout runs: its canaries must reach the new version, of which no slots are dealt. */
  @Test
  void canariesAreNotLimitedToDealtSlots() {
    start(FeatureMode.ON, "entry-1", 1);
    register(1, versionOf(first, "v1"), versionOf(second, "v2"));
    Rollout rollout =
        new Rollout(
            new RolloutOrder(TestPlans.ENGINES, new UpstreamVersion("v2"), 12_000),
            List.of(new UpstreamVersion("v1")),
            7,
            RolloutPhase.RUNNING,
            RolloutReason.ORDERED,
            ExposureCounters.NONE);
    node.onControlMessage(new ServingReply.RolloutUpdate(TERM, 1, List.of(rollout)), nowNs);
    confirm(1, slots(List.of(0, 0), List.of(5, 0)));
    nowNs += 250 * MS;
    long asked =
        node.tick(nowNs).stream()
            .filter(ForwardAction.SendControl.class::isInstance)
            .map(action -> ((ForwardAction.SendControl) action).message())
            .filter(ServingMessage.Rollouts.class::isInstance)
            .mapToLong(message -> ((ServingMessage.Rollouts) message).sequence())
            .findFirst()
            .orElseThrow();
    CanaryAllowance allowance =
        new CanaryAllowance(TestPlans.ENGINES, 7, 1, List.of(second.id()), 0);
    node.onControlMessage(
        new ServingReply.CanaryLoans(TERM, asked, 1_000, List.of(allowance)), nowNs);
    assertThat(arriveTimes(2, "/stream/x")).containsExactly("e2", "e1");
  }

  private static Registration versionOf(Registration plain, String version) {
    return new Registration(
        plain.id(),
        plain.bornMs(),
        plain.service(),
        plain.address(),
        plain.dataCenter(),
        plain.slots(),
        plain.phase(),
        plain.sequence(),
        Optional.of(new UpstreamVersion(version)),
        0);
  }

  /** Without the feature, slots dealt to others are used as before. */
  @Test
  void otherSlotsAreUsedWhereTheFeatureDoesNotApply() {
    start(FeatureMode.AUTO, "entry-1", 1);
    register(1, first, second, third);
    confirm(1, slots(List.of(3, 0, 2), List.of(1, 0, 1)));
    assertThat(arriveTimes(4, "/stream/x")).hasSize(4).contains("e2");
    assertThat(node.dealtSlotUsage()).isEqualTo(new DealtSlotUsage(0, 0, 0));
  }
}
