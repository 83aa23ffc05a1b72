package org.teaseltrail.core.control;

import static org.assertj.core.api.Assertions.assertThat;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.SplittableRandom;
import org.junit.jupiter.api.Tag;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;
import org.teaseltrail.core.contention.ContentionSettings;
import org.teaseltrail.core.forward.ForwardAction;
import org.teaseltrail.core.forward.ForwardNode;
import org.teaseltrail.core.forward.ForwardSamples;
import org.teaseltrail.core.forward.RefusalReason;
import org.teaseltrail.core.id.FencingNumber;
import org.teaseltrail.core.id.VmId;
import org.teaseltrail.core.plan.TestPlans;
import org.teaseltrail.core.quota.QuotaGrant;
import org.teaseltrail.core.serving.ServingMessage;
import org.teaseltrail.core.serving.ServingReply;

/**
 * Load of a customer at several times its quota for ten seconds, over many VMs. Requests differ in
 * size by thirty, and a sync is answered within two milliseconds.
 */
class QuotaExhaustedTest {

  private static final long MS = 1_000_000L;
  private static final int VMS = 24;
  private static final double RATE = 100_000;
  private static final double LIMIT = RATE * 9;
  private static final int LENGTH_MS = 10_000;
  private static final int WARM_UP_MS = 2_000;
  private static final int REPLY_MS = 2;
  private static final int[] SIZES = {700, 700, 700, 1_900, 1_900, 1_900, 6_700, 6_700, 20_000};
  private static final int LARGE = 6_700;
  private static final FencingNumber TERM = new FencingNumber(1);

  private record Sent(long ms, int tokens) {}

  private record Reply(ForwardNode node, ServingReply.Confirmed message) {}

  private final Map<Long, Sent> sent = new HashMap<>();
  private final Map<Long, List<Reply>> replies = new HashMap<>();
  private final List<Long> refusedAfterMs = new ArrayList<>();
  private QuotaAllocator allocator;
  private List<ForwardNode> nodes;
  private double servedTokens;
  private int servedLarge;
  private int asked;

  private void simulate(ContentionSettings contention, double load, long seed) {
    sent.clear();
    replies.clear();
    allocator = new QuotaAllocator(8_000, 3_000, 0);
    nodes = new ArrayList<>();
    for (int i = 0; i < VMS; i++) {
      nodes.add(
          QuotaSamples.node(
              ForwardSamples.settings(
                  new VmId("entry-" + i), 1, List.of(QuotaSamples.MEMBER), i, contention),
              RATE));
    }
    SplittableRandom random = new SplittableRandom(seed);
    double meanTokens = 4_577;
    for (long ms = 0; ms < LENGTH_MS; ms++) {
      for (Reply reply : replies.getOrDefault(ms, List.of())) {
        record(reply.node().onControlMessage(reply.message(), ms * MS), ms);
      }
      for (ForwardNode node : nodes) {
        if (ms * MS >= node.nextWakeupNs()) {
          tick(node, ms);
        }
      }
      if (random.nextDouble() < load * RATE / meanTokens / 1_000) {
        int tokens = SIZES[random.nextInt(SIZES.length)];
        sent.put(ms, new Sent(ms, tokens));
        asked += ms >= WARM_UP_MS ? 1 : 0;
        ForwardNode node = nodes.get(random.nextInt(VMS));
        record(node.onRequest(QuotaSamples.request(ms, tokens), ms * MS), ms);
      }
    }
  }

  private void tick(ForwardNode node, long ms) {
    List<ForwardAction> actions = node.tick(ms * MS);
    record(actions, ms);
    for (ForwardAction action : actions) {
      if (action instanceof ForwardAction.SendControl send
          && send.message() instanceof ServingMessage.Sync sync) {
        replies
            .computeIfAbsent(ms + REPLY_MS, key -> new ArrayList<>())
            .add(new Reply(node, answer(sync, ms * MS)));
      }
    }
  }

  private ServingReply.Confirmed answer(ServingMessage.Sync sync, long nowNs) {
    allocator.recordReport(sync.vm(), sync.incarnation(), sync.quotas(), nowNs);
    QuotaLimit limit = new QuotaLimit(LIMIT, RATE, RATE, 0);
    List<QuotaGrant> grants =
        allocator.allocate(sync.vm(), Map.of(TestPlans.CUSTOMER, limit), nowNs);
    return new ServingReply.Confirmed(
        TERM,
        sync.sequence(),
        1,
        1,
        VMS,
        List.of(QuotaSamples.MEMBER),
        QuotaSamples.UNLIMITED_SLOTS,
        List.of(),
        grants);
  }

  private void record(List<ForwardAction> actions, long ms) {
    for (ForwardAction action : actions) {
      if (action instanceof ForwardAction.Dispatch dispatch) {
        Sent request = sent.get(dispatch.request());
        boolean counts = request.ms() >= WARM_UP_MS;
        servedTokens += counts ? request.tokens() : 0;
        servedLarge += counts && request.tokens() >= LARGE ? 1 : 0;
      } else if (action instanceof ForwardAction.Refuse refuse
          && refuse.refusalReason() == RefusalReason.OVER_QUOTA
          && sent.get(refuse.request()).ms() >= WARM_UP_MS) {
        refusedAfterMs.add(ms - sent.get(refuse.request()).ms());
      }
    }
  }

  /**
   * A customer asks for four times its quota. Its callers were refused after half of their
   * objective, although the leader had answered long before that there was no quota.
   */
  @ParameterizedTest
  @ValueSource(longs = {1, 2, 3})
  void refusalThatIsBoundToComeComesAtOnce(long seed) {
    simulate(ContentionSettings.ON, 4, seed);
    long late = refusedAfterMs.stream().filter(elapsedMs -> elapsedMs > 60).count();
    assertThat(refusedAfterMs).hasSizeGreaterThan(asked / 3);
    assertThat(late).isLessThanOrEqualTo(refusedAfterMs.size() / 10);
  }

  /** The quota is used as fully, and large requests get as much of it, as when all wait longer. */
  @Test
  @Tag("known-red")
  void quotaIsUsedAsFully() {
    for (long seed = 1; seed <= 5; seed++) {
      simulate(ContentionSettings.OFF, 4, seed);
    }
    final double tokensBefore = servedTokens;
    final double largeBefore = servedLarge;
    servedTokens = 0;
    servedLarge = 0;
    for (long seed = 1; seed <= 5; seed++) {
      simulate(ContentionSettings.ON, 4, seed);
    }
    assertThat(servedTokens).isGreaterThanOrEqualTo(0.95 * tokensBefore);
    assertThat((double) servedLarge).isGreaterThanOrEqualTo(0.9 * largeBefore);
  }

  /** A customer that asks for less than its quota's rate is refused no more often than before. */
  @ParameterizedTest
  @ValueSource(longs = {1, 2, 3, 4, 5})
  void customerWithinItsRateWaitsAsBefore(long seed) {
    simulate(ContentionSettings.OFF, 0.5, seed);
    final int refusedBefore = refusedAfterMs.size();
    refusedAfterMs.clear();
    simulate(ContentionSettings.ON, 0.5, seed);
    assertThat(refusedAfterMs.size()).isLessThanOrEqualTo(refusedBefore);
  }
}
