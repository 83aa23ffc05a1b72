package org.teaseltrail.core.example;

import static org.assertj.core.api.Assertions.assertThat;

import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import org.junit.jupiter.api.Test;
import org.teaseltrail.core.configuration.AllowedUpstream;
import org.teaseltrail.core.configuration.Configuration;
import org.teaseltrail.core.configuration.Customer;
import org.teaseltrail.core.configuration.Pool;
import org.teaseltrail.core.configuration.Route;
import org.teaseltrail.core.configuration.RouteTarget;
import org.teaseltrail.core.configuration.RouteTarget.ModelTarget;
import org.teaseltrail.core.configuration.TierDefinition;
import org.teaseltrail.core.id.CustomerId;
import org.teaseltrail.core.id.DataCenterId;
import org.teaseltrail.core.id.FencingNumber;
import org.teaseltrail.core.id.Incarnation;
import org.teaseltrail.core.id.ModelId;
import org.teaseltrail.core.id.ModelVersion;
import org.teaseltrail.core.id.PoolId;
import org.teaseltrail.core.id.RequestId;
import org.teaseltrail.core.id.Revision;
import org.teaseltrail.core.id.RouteId;
import org.teaseltrail.core.id.Tier;
import org.teaseltrail.core.id.UpstreamId;
import org.teaseltrail.core.id.VmId;
import org.teaseltrail.core.message.ControlMessage.Grant;
import org.teaseltrail.core.message.EndKind;
import org.teaseltrail.core.message.EntryMessage;
import org.teaseltrail.core.message.RequestKind;
import org.teaseltrail.core.message.Ticket;
import org.teaseltrail.core.message.Usage;
import org.teaseltrail.core.request.FrameDisposition;
import org.teaseltrail.core.request.Outcome;
import org.teaseltrail.core.request.Request;
import org.teaseltrail.core.request.StreamFrame;
import org.teaseltrail.core.request.UpstreamTarget;
import org.teaseltrail.core.schedule.PoolScheduler;
import org.teaseltrail.core.schedule.Scheduler;
import org.teaseltrail.core.schedule.SchedulerAction;
import org.teaseltrail.core.schedule.SchedulerEvent;
import org.teaseltrail.core.schedule.SchedulerSettings;
import org.teaseltrail.core.upstream.Announcement;
import org.teaseltrail.core.upstream.LoadReport;
import org.teaseltrail.core.upstream.ServedModel;
import org.teaseltrail.core.upstream.SocketAddress;
import org.teaseltrail.core.upstream.UpstreamPhase;
import org.teaseltrail.core.upstream.UpstreamRole;

/** Example of docs/EMBEDDING.md: drives a scheduler and a request from plain Java code. */
class EmbeddedSchedulerTest {

  private static final long SEED = 1;
  private static final VmId VM = new VmId("my-program");
  private static final PoolId POOL = new PoolId("tutor");
  private static final RouteId ROUTE = new RouteId("tutor");
  private static final UpstreamId ENGINE = new UpstreamId("engine-1");
  private static final CustomerId CUSTOMER = new CustomerId("school");
  private static final Tier TIER = new Tier(1);
  private static final ModelTarget MODEL =
      new ModelTarget(new ModelId("tutor-llm"), new ModelVersion("3"), Optional.empty());

  private final Scheduler scheduler =
      new PoolScheduler(POOL, new FencingNumber(1), SchedulerSettings.defaults(), SEED);

  private long nowNs;

  @Test
  void schedulesOneRequestToItsEnd() {
    handle(new SchedulerEvent.ConfigurationChanged(configuration()));
    send(new EntryMessage.UpstreamSeen(announcement(), 0));

    Request request = new Request(ticket(), MODEL, nowNs, 0);
    request.markOffered();
    List<SchedulerAction> actions = send(new EntryMessage.Offer(request.ticket()));
    Grant grant = grantsIn(actions).get(0);

    request.grant(
        new UpstreamTarget(grant.upstream(), grant.address()), grant.upstreamIncarnation(), nowNs);
    request.dispatch(nowNs);
    final RequestId id = request.id();
    assertThat(request.accept(new StreamFrame.Text(id, 0, "Yes.")))
        .isEqualTo(FrameDisposition.NEXT);
    Usage usage = new Usage(12, 0, 1);
    assertThat(request.accept(new StreamFrame.End(id, 1, usage))).isEqualTo(FrameDisposition.NEXT);
    request.end(new Outcome.Completed(usage));
    send(new EntryMessage.Ended(id, grant.upstream(), EndKind.COMPLETED, usage, 30));

    assertThat(grant.upstream()).isEqualTo(ENGINE);
    assertThat(request.outcome()).contains(new Outcome.Completed(usage));
    assertThat(grantsIn(send(new EntryMessage.Offer(request.ticket())))).isEmpty();
  }

  private List<SchedulerAction> send(EntryMessage message) {
    return handle(new SchedulerEvent.FromEntry(VM, message));
  }

  private List<SchedulerAction> handle(SchedulerEvent event) {
    nowNs += 1_000_000;
    return scheduler.handle(event, nowNs);
  }

  private static List<Grant> grantsIn(List<SchedulerAction> actions) {
    return actions.stream()
        .filter(SchedulerAction.Send.class::isInstance)
        .map(action -> ((SchedulerAction.Send) action).message())
        .filter(Grant.class::isInstance)
        .map(Grant.class::cast)
        .toList();
  }

  private static Ticket ticket() {
    return new Ticket(
        new RequestId("r-1"),
        CUSTOMER,
        TIER,
        ROUTE,
        POOL,
        RequestKind.GENERATION,
        12,
        40,
        List.of(),
        0,
        0,
        Optional.empty());
  }

  private static Configuration configuration() {
    RouteTarget target = MODEL;
    return new Configuration(
        new Revision(1),
        Map.of(TIER, new TierDefinition(TIER, "gold")),
        Map.of(CUSTOMER, new Customer(CUSTOMER, TIER, List.of(), 0, 0, 1)),
        Map.of(POOL, new Pool(POOL, 10_000, 0)),
        Map.of(ROUTE, new Route(ROUTE, target, POOL)),
        Map.of(ENGINE, new AllowedUpstream(ENGINE, POOL, "", false, true)));
  }

  private static Announcement announcement() {
    return new Announcement(
        ENGINE,
        new Incarnation(1),
        1,
        new SocketAddress("127.0.0.1", 9000),
        new DataCenterId("regina-a"),
        UpstreamRole.GENERATE,
        UpstreamPhase.SERVING,
        List.of(new ServedModel(MODEL.model(), MODEL.version(), Set.of())),
        Optional.empty(),
        16,
        100_000,
        new LoadReport(0, 0, 0, 4, 0, 500),
        3_000);
  }
}
