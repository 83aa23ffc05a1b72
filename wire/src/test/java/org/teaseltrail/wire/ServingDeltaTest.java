package org.teaseltrail.wire;

import static org.assertj.core.api.Assertions.assertThat;

import java.util.ArrayList;
import java.util.List;
import java.util.Optional;
import java.util.stream.IntStream;
import org.junit.jupiter.api.Test;
import org.teaseltrail.core.id.DataCenterId;
import org.teaseltrail.core.id.FencingNumber;
import org.teaseltrail.core.id.RouteId;
import org.teaseltrail.core.id.ServiceId;
import org.teaseltrail.core.id.UpstreamId;
import org.teaseltrail.core.plan.ClientLimits;
import org.teaseltrail.core.plan.KeyPolicy;
import org.teaseltrail.core.plan.PlanRoute;
import org.teaseltrail.core.plan.RouteKind;
import org.teaseltrail.core.plan.ServingPlan;
import org.teaseltrail.core.plan.WeightedService;
import org.teaseltrail.core.registry.Registration;
import org.teaseltrail.core.registry.RegistrationPhase;
import org.teaseltrail.core.serving.ServingReply;
import org.teaseltrail.core.upstream.SocketAddress;

/**
 * Guards against orders that are not acknowledged while a large plan is in force. If the leader
 * encodes the full plan for each of sixty entry VMs on every change of a few routes, this takes a
 * second or more, and it loses its lease before it responds. The same applies to registrations if
 * each new one causes all of them to be sent to all VMs.
 */
class ServingDeltaTest {

  private static final FencingNumber FENCING = new FencingNumber(3);
  private static final ServiceId SERVICE = new ServiceId("tutor-llm");
  private static final int ROUTES = 1_776;
  private static final int UPSTREAMS = 98;
  private static final int MAX_DELTA_BYTES = 1_000;

  private final MessageCodec codec = new MessageCodec();
  private final MessageEncoder<ServingReply> encoder =
      MessageEncoder.forType(ServingReply.class, codec);
  private final MessageDecoder<ServingReply> decoder =
      MessageDecoder.forType(ServingReply.class, codec);

  static PlanRoute route(int number, long timeoutMs) {
    return new PlanRoute(
        new RouteId("route-" + number),
        "calls.example",
        "/path-" + number + "/",
        RouteKind.STREAMING,
        false,
        List.of(new WeightedService(SERVICE, 1)),
        timeoutMs,
        500,
        600,
        1,
        1,
        true);
  }

  private static ServingPlan plan(long version, List<PlanRoute> routes) {
    return new ServingPlan(version, routes, List.of(), ClientLimits.DEFAULT, List.of());
  }

  private static List<PlanRoute> routes() {
    return IntStream.range(0, ROUTES).mapToObj(number -> route(number, 10_000)).toList();
  }

  private static Registration registration(int number) {
    return new Registration(
        new UpstreamId("i-" + number),
        0,
        SERVICE,
        new SocketAddress("10.0.0." + number, 80),
        new DataCenterId("regina-a"),
        7,
        RegistrationPhase.READY,
        1,
        Optional.empty(),
        0);
  }

  private int push(ServingReply update) {
    byte[] body = encoder.encode(update);
    encoder.onSent(update);
    assertThat(decoder.decode(body)).isEqualTo(update);
    return body.length;
  }

  @Test
  void frameSizeOfRouteChangeIsIndependentOfPlanSize() {
    List<PlanRoute> routes = new ArrayList<>(routes());
    push(new ServingReply.PlanUpdate(FENCING, plan(1, routes)));
    routes.set(700, route(700, 8_000));
    routes.remove(20);
    routes.add(route(ROUTES, 10_000));
    assertThat(push(new ServingReply.PlanUpdate(FENCING, plan(2, routes))))
        .isLessThan(MAX_DELTA_BYTES);
  }

  @Test
  void decoderKeepsNewOrderOfRoutes() {
    push(new ServingReply.PlanUpdate(FENCING, plan(1, List.of(route(1, 1), route(2, 1)))));
    push(new ServingReply.PlanUpdate(FENCING, plan(2, List.of(route(2, 1), route(1, 1)))));
    push(new ServingReply.PlanUpdate(FENCING, plan(3, List.of(route(3, 1), route(1, 1)))));
  }

  /** Guards against VMs that hear of a plan's customers and not that there are none any more. */
  @Test
  void decoderKeepsWhetherKeysAreRequired() {
    for (KeyPolicy policy : KeyPolicy.values()) {
      ServingPlan plan =
          new ServingPlan(
              2 + policy.ordinal(),
              routes(),
              List.of(),
              ClientLimits.DEFAULT,
              List.of(),
              Optional.of(policy));
      push(new ServingReply.PlanUpdate(FENCING, plan));
    }
  }

  @Test
  void emptyRegistriesOfDifferentRevisionsAreDistinct() {
    push(new ServingReply.RegistryUpdate(FENCING, 1, List.of()));
    push(new ServingReply.RegistryUpdate(FENCING, 2, List.of()));
    push(new ServingReply.RegistryUpdate(FENCING, 3, List.of()));
    MessageEncoder<ServingReply> otherEncoder = MessageEncoder.forType(ServingReply.class, codec);
    ServingReply last = new ServingReply.RegistryUpdate(FENCING, 3, List.of());
    assertThat(codec.decode(ServingReply.class, otherEncoder.encode(last))).isEqualTo(last);
  }

  @Test
  void planIsEncodedOnceForAllVms() {
    ServingPlan first = plan(1, routes());
    MessageEncoder<ServingReply> otherEncoder = MessageEncoder.forType(ServingReply.class, codec);
    ServingReply update = new ServingReply.PlanUpdate(FENCING, first);
    assertThat(otherEncoder.encode(update)).isSameAs(encoder.encode(update));
  }

  @Test
  void incrementalRegistrationsAreSentAsDeltas() {
    List<Registration> present = new ArrayList<>();
    int pushedBytes = 0;
    for (int number = 0; number < UPSTREAMS; number++) {
      present.add(registration(number));
      pushedBytes += push(new ServingReply.RegistryUpdate(FENCING, number + 1, present));
    }
    assertThat(pushedBytes).isLessThan(UPSTREAMS * MAX_DELTA_BYTES);
    present.set(5, present.get(5).withPhase(RegistrationPhase.DRAINING));
    present.remove(50);
    assertThat(push(new ServingReply.RegistryUpdate(FENCING, UPSTREAMS + 1, present)))
        .isLessThan(MAX_DELTA_BYTES);
  }
}
