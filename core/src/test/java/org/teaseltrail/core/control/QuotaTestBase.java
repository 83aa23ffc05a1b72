package org.teaseltrail.core.control;

import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import org.teaseltrail.core.forward.ForwardAction;
import org.teaseltrail.core.forward.ForwardNode;
import org.teaseltrail.core.forward.ForwardRequest;
import org.teaseltrail.core.id.FencingNumber;
import org.teaseltrail.core.id.VmId;
import org.teaseltrail.core.plan.TestPlans;
import org.teaseltrail.core.quota.QuotaGrant;
import org.teaseltrail.core.serving.ServingMessage;
import org.teaseltrail.core.serving.ServingReply;

/**
 * Base class for tests of a customer's quota: several entry VMs with one customer, and their
 * leader.
 */
abstract class QuotaTestBase {

  static final long MS = 1_000_000L;
  static final int VMS = 6;
  static final int PARTITIONED_VMS = 2;
  static final double RATE = 50_000;
  static final double LIMIT = RATE * 9;
  static final int TOKENS = 1_100;
  private static final FencingNumber TERM = new FencingNumber(1);

  QuotaAllocator allocator = new QuotaAllocator(8_000, 3_000, 0);
  final List<ForwardNode> nodes = new ArrayList<>();
  FencingNumber term = TERM;
  double reserved;
  double burstCapacity = LIMIT;
  private long lastNumber;

  static ForwardNode node(int number) {
    return node(number, 1);
  }

  static ForwardNode node(int number, long incarnation) {
    return QuotaSamples.node(new VmId("entry-" + number), incarnation, RATE);
  }

  double sync(ForwardNode node, long nowNs) {
    return sync(node, true, nowNs);
  }

  /**
   * Syncs a VM if a sync is due; returns the tokens of the requests that start because of the
   * reply.
   */
  double sync(ForwardNode node, boolean replyArrives, long nowNs) {
    double runs = 0;
    for (ForwardAction action : node.tick(nowNs)) {
      if (action instanceof ForwardAction.SendControl send) {
        ServingMessage.Sync sync = (ServingMessage.Sync) send.message();
        allocator.recordReport(sync.vm(), sync.incarnation(), sync.quotas(), nowNs);
        List<QuotaGrant> grants =
            allocator.allocate(
                sync.vm(),
                Map.of(TestPlans.CUSTOMER, new QuotaLimit(LIMIT, RATE, burstCapacity, reserved)),
                nowNs);
        ServingReply.Confirmed reply =
            new ServingReply.Confirmed(
                term,
                sync.sequence(),
                1,
                1,
                VMS,
                List.of(QuotaSamples.MEMBER),
                QuotaSamples.UNLIMITED_SLOTS,
                List.of(),
                grants);
        runs += replyArrives ? running(node.onControlMessage(reply, nowNs)) : 0;
      }
    }
    return runs;
  }

  static double running(List<ForwardAction> actions) {
    return TOKENS * actions.stream().filter(ForwardAction.Dispatch.class::isInstance).count();
  }

  void leaderChanges(long nowNs) {
    term = new FencingNumber(term.value() + 1);
    allocator = new QuotaAllocator(8_000, 3_000, nowNs);
  }

  double sendRequest(ForwardNode node, long nowNs) {
    lastNumber++;
    ForwardRequest request = QuotaSamples.request(lastNumber, TOKENS);
    return running(node.onRequest(request, nowNs));
  }
}
