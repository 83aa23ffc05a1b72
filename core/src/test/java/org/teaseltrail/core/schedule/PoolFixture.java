package org.teaseltrail.core.schedule;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import java.util.stream.Stream;
import org.teaseltrail.core.configuration.AllowedUpstream;
import org.teaseltrail.core.configuration.Configuration;
import org.teaseltrail.core.configuration.Customer;
import org.teaseltrail.core.configuration.Pool;
import org.teaseltrail.core.configuration.Route;
import org.teaseltrail.core.configuration.RouteTarget;
import org.teaseltrail.core.configuration.TierDefinition;
import org.teaseltrail.core.id.CustomerId;
import org.teaseltrail.core.id.DataCenterId;
import org.teaseltrail.core.id.FencingNumber;
import org.teaseltrail.core.id.IdempotencyKey;
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
import org.teaseltrail.core.message.Claim;
import org.teaseltrail.core.message.ControlMessage;
import org.teaseltrail.core.message.EndKind;
import org.teaseltrail.core.message.EntryMessage;
import org.teaseltrail.core.message.RequestKind;
import org.teaseltrail.core.message.Ticket;
import org.teaseltrail.core.message.Usage;
import org.teaseltrail.core.upstream.Announcement;
import org.teaseltrail.core.upstream.LoadReport;
import org.teaseltrail.core.upstream.ServedModel;
import org.teaseltrail.core.upstream.SocketAddress;
import org.teaseltrail.core.upstream.UpstreamPhase;
import org.teaseltrail.core.upstream.UpstreamRole;

/** Runs one scheduler under virtual time, with the ids and builders that the tests share. */
final class PoolFixture {

  static final PoolId POOL = new PoolId("tutor");
  static final RouteId ROUTE = new RouteId("tutor-route");
  static final VmId VM = new VmId("vm-1");
  static final ModelId MODEL = new ModelId("tutor-llm");
  static final ModelVersion VERSION = new ModelVersion("1");
  static final int MAX_BATCH = 2;
  static final long LIFETIME_MS = 3_000;

  final PoolScheduler scheduler;
  final Map<UpstreamId, Long> sequences = new HashMap<>();
  private final Map<UpstreamId, AllowedUpstream> allowed = new HashMap<>();
  private final Map<CustomerId, Customer> customers = new HashMap<>();
  private long maxWaitingMs = 10_000;
  private long revision;
  long nowMs;

  PoolFixture(SchedulerSettings settings) {
    this(settings, 1);
  }

  PoolFixture(SchedulerSettings settings, long fencing) {
    scheduler = new PoolScheduler(POOL, new FencingNumber(fencing), settings, 1);
  }

  /** Creates a pool with the upstreams u1 to uN, allowed and announced as serving. */
  static PoolFixture serving(int upstreams, SchedulerSettings settings) {
    PoolFixture fixture = new PoolFixture(settings);
    for (int i = 1; i <= upstreams; i++) {
      fixture.allow("u" + i, false);
    }
    fixture.configure();
    for (int i = 1; i <= upstreams; i++) {
      fixture.announce("u" + i, UpstreamPhase.SERVING);
    }
    return fixture;
  }

  void allow(String upstream, boolean draining) {
    UpstreamId id = new UpstreamId(upstream);
    allowed.put(id, new AllowedUpstream(id, POOL, "", draining, true));
  }

  void disallow(String upstream) {
    allowed.remove(new UpstreamId(upstream));
  }

  void maxWaitingMs(long newMaxWaitingMs) {
    maxWaitingMs = newMaxWaitingMs;
  }

  void customer(String name, int tier, double rate, double burst, int weight) {
    CustomerId id = new CustomerId(name);
    customers.put(id, new Customer(id, new Tier(tier), List.of(), rate, burst, weight));
  }

  List<SchedulerAction> configure() {
    Route route =
        new Route(ROUTE, new RouteTarget.ModelTarget(MODEL, VERSION, Optional.empty()), POOL);
    Configuration configuration =
        new Configuration(
            new Revision(++revision),
            Map.of(new Tier(1), new TierDefinition(new Tier(1), "gold")),
            customers,
            Map.of(POOL, new Pool(POOL, maxWaitingMs, 0)),
            Map.of(ROUTE, route),
            allowed);
    return handle(new SchedulerEvent.ConfigurationChanged(configuration));
  }

  List<SchedulerAction> announce(String upstream, UpstreamPhase phase) {
    return announce(upstream, 1, phase);
  }

  List<SchedulerAction> announce(String upstream, long incarnation, UpstreamPhase phase) {
    UpstreamId id = new UpstreamId(upstream);
    long sequence = sequences.merge(id, 1L, Long::sum);
    Announcement announcement =
        new Announcement(
            id,
            new Incarnation(incarnation),
            sequence,
            new SocketAddress("127.0.0.1", 9_000),
            new DataCenterId("regina-a"),
            UpstreamRole.GENERATE,
            phase,
            List.of(new ServedModel(MODEL, VERSION, Set.of())),
            Optional.empty(),
            MAX_BATCH,
            100_000,
            new LoadReport(0, 0, 0, 4, 0, 0),
            LIFETIME_MS);
    return send(VM, new EntryMessage.UpstreamSeen(announcement, 0));
  }

  static Ticket ticket(String request, int tier) {
    return ticket(request, "c" + tier, tier, 100, 20, 0, false, List.of());
  }

  static Ticket ticket(
      String request,
      String customer,
      int tier,
      int promptTokens,
      int outputTokens,
      long deadlineMs,
      boolean claim,
      List<Long> blocks) {
    Optional<Claim> key =
        claim
            ? Optional.of(new Claim(new IdempotencyKey("key-" + request), "digest", true))
            : Optional.empty();
    return new Ticket(
        new RequestId(request),
        new CustomerId(customer),
        new Tier(tier),
        ROUTE,
        POOL,
        RequestKind.GENERATION,
        promptTokens,
        outputTokens,
        blocks,
        0,
        deadlineMs,
        key);
  }

  List<SchedulerAction> offer(Ticket ticket) {
    return send(VM, new EntryMessage.Offer(ticket));
  }

  List<SchedulerAction> end(String request, String upstream) {
    return send(
        VM,
        new EntryMessage.Ended(
            new RequestId(request),
            new UpstreamId(upstream),
            EndKind.COMPLETED,
            new Usage(100, 0, 20),
            100));
  }

  List<SchedulerAction> send(VmId vm, EntryMessage message) {
    return handle(new SchedulerEvent.FromEntry(vm, message));
  }

  List<SchedulerAction> tick() {
    return handle(new SchedulerEvent.Tick());
  }

  List<SchedulerAction> handle(SchedulerEvent event) {
    return scheduler.handle(event, nowMs * 1_000_000);
  }

  /** Returns the requests that the actions grant, each as "request@upstream". */
  static List<String> grants(List<SchedulerAction> actions) {
    return sent(actions, ControlMessage.Grant.class)
        .map(g -> g.request() + "@" + g.upstream())
        .toList();
  }

  /** Returns the requests that the actions refuse, each as "request:kind". */
  static List<String> refusals(List<SchedulerAction> actions) {
    return sent(actions, ControlMessage.Refused.class)
        .map(r -> r.request() + ":" + r.kind())
        .toList();
  }

  static <T extends ControlMessage> Stream<T> sent(List<SchedulerAction> actions, Class<T> type) {
    List<T> found = new ArrayList<>();
    for (SchedulerAction action : actions) {
      if (action instanceof SchedulerAction.Send send && type.isInstance(send.message())) {
        found.add(type.cast(send.message()));
      }
    }
    return found.stream();
  }
}
