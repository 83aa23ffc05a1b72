package org.teaseltrail.core.control;

import java.util.List;
import java.util.Optional;
import java.util.OptionalInt;
import java.util.OptionalLong;
import org.teaseltrail.core.forward.ForwardNode;
import org.teaseltrail.core.forward.ForwardRequest;
import org.teaseltrail.core.forward.ForwardSamples;
import org.teaseltrail.core.id.FencingNumber;
import org.teaseltrail.core.id.UpstreamId;
import org.teaseltrail.core.id.VmId;
import org.teaseltrail.core.plan.TestPlans;
import org.teaseltrail.core.quarantine.RequestContent;
import org.teaseltrail.core.registry.Registration;
import org.teaseltrail.core.serving.ServingReply;
import org.teaseltrail.core.serving.UpstreamSlots;

/** Makes entry VMs and requests for tests of a quota over several VMs. */
final class QuotaSamples {

  static final VmId MEMBER = ForwardSamples.MEMBER;

  private static final UpstreamId UPSTREAM = new UpstreamId("p1");
  private static final int MANY = 1_000_000;

  /** What the leader tells of the upstream: there is room for whatever a VM sends. */
  static final UpstreamSlots PLACES = new UpstreamSlots(List.of(0), List.of(MANY));

  private static final FencingNumber TERM = new FencingNumber(1);

  private QuotaSamples() {}

  /** Makes a VM whose one customer may use so many tokens a second, at an upstream without end. */
  static ForwardNode node(VmId vm, long incarnation, double tokensPerSecond) {
    ForwardNode node = new ForwardNode(ForwardSamples.settings(vm, incarnation));
    Registration upstream = ForwardSamples.upstream(UPSTREAM.value(), TestPlans.PLAIN, MANY);
    node.onControlMessage(
        new ServingReply.PlanUpdate(
            TERM, TestPlans.plan(1, TestPlans.customer(TestPlans.KEY, tokensPerSecond))),
        0);
    node.onControlMessage(new ServingReply.RegistryUpdate(TERM, 1, List.of(upstream)), 0);
    return node;
  }

  /** Makes the customer's request. */
  static ForwardRequest request(long number, int tokens) {
    return new ForwardRequest(
        number,
        "id-" + number,
        TestPlans.HOST,
        "/unsafe/x",
        Optional.of(TestPlans.KEY),
        OptionalLong.empty(),
        OptionalInt.of(tokens),
        OptionalInt.of(0),
        List.of(),
        RequestContent.EMPTY);
  }
}
