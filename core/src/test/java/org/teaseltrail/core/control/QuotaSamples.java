package org.teaseltrail.core.control;

import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.OptionalInt;
import java.util.OptionalLong;
import org.teaseltrail.core.forward.ForwardNode;
import org.teaseltrail.core.forward.ForwardRequest;
import org.teaseltrail.core.forward.ForwardSettings;
import org.teaseltrail.core.id.DataCenterId;
import org.teaseltrail.core.id.FencingNumber;
import org.teaseltrail.core.id.Incarnation;
import org.teaseltrail.core.id.UpstreamId;
import org.teaseltrail.core.id.VmId;
import org.teaseltrail.core.plan.Plans;
import org.teaseltrail.core.quota.QuotaBounds;
import org.teaseltrail.core.registry.Registration;
import org.teaseltrail.core.registry.RegistrationPhase;
import org.teaseltrail.core.serving.ServingReply;
import org.teaseltrail.core.serving.UpstreamPlaces;
import org.teaseltrail.core.upstream.SocketAddress;

/** Makes entry VMs and requests for tests of a quota over several VMs. */
final class QuotaSamples {

  static final VmId MEMBER = new VmId("10.0.0.9:7600");

  private static final UpstreamId UPSTREAM = new UpstreamId("p1");
  private static final int MANY = 1_000_000;

  /** What the leader tells of the upstream: there is room for whatever a VM sends. */
  static final UpstreamPlaces PLACES = new UpstreamPlaces(Map.of(), Map.of(UPSTREAM, MANY));

  private static final FencingNumber TERM = new FencingNumber(1);

  private QuotaSamples() {}

  /** Makes a VM whose one customer may use so many tokens a second, at an upstream without end. */
  static ForwardNode node(VmId vm, long incarnation, double tokensPerSecond) {
    ForwardNode node =
        new ForwardNode(
            new ForwardSettings(
                vm,
                new Incarnation(incarnation),
                List.of(MEMBER),
                3_000,
                250,
                0.2,
                10_000,
                50,
                QuotaBounds.DEFAULT,
                vm.value().hashCode()));
    Registration upstream =
        new Registration(
            UPSTREAM,
            0,
            Plans.PLAIN,
            new SocketAddress("10.0.0.1", 80),
            new DataCenterId("a"),
            MANY,
            RegistrationPhase.READY,
            1);
    node.fromControl(
        new ServingReply.PlanUpdate(
            TERM, Plans.plan(1, Plans.customer(Plans.KEY, tokensPerSecond))),
        0);
    node.fromControl(new ServingReply.RegistryUpdate(TERM, 1, List.of(upstream)), 0);
    return node;
  }

  /** Makes the customer's request. */
  static ForwardRequest request(long number, int tokens) {
    return new ForwardRequest(
        number,
        "id-" + number,
        Plans.HOST,
        "/unsafe/x",
        Optional.of(Plans.KEY),
        OptionalLong.empty(),
        OptionalInt.of(tokens),
        OptionalInt.of(0),
        List.of());
  }
}
