package org.teaseltrail.forward;

import static org.assertj.core.api.Assertions.assertThat;

import java.io.ByteArrayOutputStream;
import java.nio.charset.StandardCharsets;
import java.util.List;
import java.util.Optional;
import java.util.OptionalDouble;
import java.util.OptionalInt;
import java.util.OptionalLong;
import org.junit.jupiter.api.Test;
import org.teaseltrail.core.forward.AttemptOutcome;
import org.teaseltrail.core.forward.ForwardAction;
import org.teaseltrail.core.forward.ForwardRequest;
import org.teaseltrail.core.forward.PromptPart;
import org.teaseltrail.core.forward.RefusalReason;
import org.teaseltrail.core.forward.RequestStage;
import org.teaseltrail.core.forward.StreamResumption;
import org.teaseltrail.core.id.CustomerId;
import org.teaseltrail.core.id.DataCenterId;
import org.teaseltrail.core.id.RouteId;
import org.teaseltrail.core.id.ServiceId;
import org.teaseltrail.core.id.UpstreamId;
import org.teaseltrail.core.id.UpstreamVersion;
import org.teaseltrail.core.id.VmId;
import org.teaseltrail.core.plan.PlanRoute;
import org.teaseltrail.core.plan.RouteKind;
import org.teaseltrail.core.plan.WeightedService;
import org.teaseltrail.core.quarantine.RequestContent;
import org.teaseltrail.core.registry.Registration;
import org.teaseltrail.core.registry.RegistrationPhase;
import org.teaseltrail.core.relay.RelayHop;
import org.teaseltrail.core.relay.RelayOutcome;
import org.teaseltrail.core.serving.PeerVm;
import org.teaseltrail.core.upstream.SocketAddress;
import org.teaseltrail.runtime.log.EventLog;

/** Guards against lines with fields that their events don't have, which end the request's work. */
class RequestLoggerTest {

  private static final VmId PEER = new VmId("entry-2");
  private static final ServiceId SERVICE = new ServiceId("s");
  private static final Optional<CustomerId> CUSTOMER = Optional.of(new CustomerId("c"));

  private final ByteArrayOutputStream written = new ByteArrayOutputStream();
  private final EventLog log = new EventLog(written, "teaseltrail-entry", "entry-1");
  private final RequestLogger logger =
      new RequestLogger(request(), Optional.of(new RelayHop(PEER, 0, 0, false)), 0);

  @Test
  void eachLineOfRequestWithAllFieldsIsWritten() {
    logger.dispatched(dispatch(), 1);
    logger.relayed(relay(), 2);
    logger.responseStarted(3);
    logger.attemptEnded(log, AttemptOutcome.BROKEN, 200, 4);
    logger.relayFailed(log, RelayOutcome.BROKEN, 5);
    logger.refused(log, refusal(RefusalReason.QUARANTINED), 503, false, 6);
    logger.refused(log, refusal(RefusalReason.FORECAST), 503, false, 7);
    ForwardAction.Refuse givenUp = refusal(RefusalReason.GIVEN_UP).at(RequestStage.AT_UPSTREAM);
    logger.refused(log, givenUp, 502, true, 7);
    logger.unanswered(log, 7);
    logger.callerDisconnected(log, true, 8);
    logger.delivered(log, 200, 0, 9);
    log.close();
    assertThat(written.toString(StandardCharsets.UTF_8).lines())
        .hasSize(8)
        .allMatch(line -> line.contains("\"resumes\":\"id-0\""))
        .allMatch(line -> line.contains("\"after_event\":\"4\""))
        .allMatch(line -> line.contains("\"upstream_version\":\"v1\""));
  }

  private static ForwardRequest request() {
    return new ForwardRequest(
        1,
        "id-1",
        "calls.example",
        "/x",
        Optional.of("k"),
        OptionalLong.of(1_000),
        OptionalInt.of(100),
        OptionalInt.of(10),
        List.of(new PromptPart("first", 60), new PromptPart("last", 40)),
        RequestContent.EMPTY,
        Optional.of(new StreamResumption(Optional.of("id-0"), Optional.of("4"))));
  }

  private static ForwardAction.Dispatch dispatch() {
    Registration upstream =
        new Registration(
            new UpstreamId("u"),
            0,
            SERVICE,
            new SocketAddress("127.0.0.1", 80),
            new DataCenterId("a"),
            1,
            RegistrationPhase.READY,
            1,
            Optional.of(new UpstreamVersion("v1")),
            0);
    return new ForwardAction.Dispatch(
        1, 1, upstream, route(), CUSTOMER, 1_000, true, OptionalDouble.of(10));
  }

  private static ForwardAction.Relay relay() {
    PeerVm peer = new PeerVm(PEER, new SocketAddress("127.0.0.1", 81), Optional.empty());
    return new ForwardAction.Relay(1, peer, route(), CUSTOMER, new RelayHop(PEER, 0, 0, false));
  }

  private static ForwardAction.Refuse refusal(RefusalReason reason) {
    return new ForwardAction.Refuse(
        1, reason, 100, Optional.of(route()), CUSTOMER, OptionalLong.of(50), Optional.empty());
  }

  private static PlanRoute route() {
    return new PlanRoute(
        new RouteId("r"),
        "calls.example",
        "/",
        RouteKind.STREAMING,
        true,
        List.of(new WeightedService(SERVICE, 1)),
        4_000,
        500,
        0,
        0,
        1,
        true);
  }
}
