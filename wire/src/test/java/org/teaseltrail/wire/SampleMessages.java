package org.teaseltrail.wire;

import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import org.teaseltrail.core.configuration.AllowedUpstream;
import org.teaseltrail.core.configuration.Configuration;
import org.teaseltrail.core.configuration.Customer;
import org.teaseltrail.core.configuration.Pool;
import org.teaseltrail.core.configuration.Route;
import org.teaseltrail.core.configuration.RouteTarget;
import org.teaseltrail.core.configuration.TierDefinition;
import org.teaseltrail.core.id.AdapterId;
import org.teaseltrail.core.id.CustomerId;
import org.teaseltrail.core.id.DataCenterId;
import org.teaseltrail.core.id.FencingNumber;
import org.teaseltrail.core.id.IdempotencyKey;
import org.teaseltrail.core.id.Incarnation;
import org.teaseltrail.core.id.MemberId;
import org.teaseltrail.core.id.ModelId;
import org.teaseltrail.core.id.ModelVersion;
import org.teaseltrail.core.id.PoolId;
import org.teaseltrail.core.id.RequestId;
import org.teaseltrail.core.id.Revision;
import org.teaseltrail.core.id.RouteId;
import org.teaseltrail.core.id.ServiceId;
import org.teaseltrail.core.id.Tier;
import org.teaseltrail.core.id.UpstreamId;
import org.teaseltrail.core.id.VmId;
import org.teaseltrail.core.message.Claim;
import org.teaseltrail.core.message.ClaimState;
import org.teaseltrail.core.message.ControlMessage;
import org.teaseltrail.core.message.DeclineReason;
import org.teaseltrail.core.message.EndKind;
import org.teaseltrail.core.message.EntryMessage;
import org.teaseltrail.core.message.RefusalKind;
import org.teaseltrail.core.message.RequestKind;
import org.teaseltrail.core.message.Ticket;
import org.teaseltrail.core.message.Usage;
import org.teaseltrail.core.message.WithdrawReason;
import org.teaseltrail.core.upstream.Announcement;
import org.teaseltrail.core.upstream.CacheEvent;
import org.teaseltrail.core.upstream.LoadReport;
import org.teaseltrail.core.upstream.ServedModel;
import org.teaseltrail.core.upstream.SocketAddress;
import org.teaseltrail.core.upstream.UpstreamPhase;
import org.teaseltrail.core.upstream.UpstreamRole;

/** Sample messages, one of each type that entry VMs and control members exchange. */
final class SampleMessages {

  private static final String HASH = "ab".repeat(32);
  private static final RequestId REQUEST = new RequestId("entry-1-41-1000017");
  private static final UpstreamId UPSTREAM = new UpstreamId("tutor-llm-3");
  private static final SocketAddress ADDRESS = new SocketAddress("127.0.0.1", 9000);
  private static final MemberId MEMBER = new MemberId("control-1");
  private static final FencingNumber FENCING = new FencingNumber(12);

  private SampleMessages() {}

  static List<SampleMessage<?>> all() {
    return List.of(
        entry(
            new EntryMessage.Hello(
                new VmId("entry-1"),
                new Incarnation(41),
                new DataCenterId("regina-a"),
                new Revision(300),
                70_000)),
        entry(new EntryMessage.Offer(ticket())),
        entry(new EntryMessage.Withdraw(REQUEST, WithdrawReason.CALLER_GONE)),
        entry(new EntryMessage.Declined(REQUEST, UPSTREAM, DeclineReason.LEAVING)),
        entry(new EntryMessage.FirstToken(REQUEST, UPSTREAM, 180)),
        entry(new EntryMessage.Progress(REQUEST, UPSTREAM, 90)),
        entry(
            new EntryMessage.Ended(
                REQUEST, UPSTREAM, EndKind.COMPLETED, new Usage(900, 512, 210), 2_100)),
        entry(new EntryMessage.StillRunning(ticket(), UPSTREAM, 33, 1_200)),
        entry(new EntryMessage.ReportsComplete(new VmId("entry-1"), FENCING)),
        entry(new EntryMessage.UpstreamSeen(announcement(), 12)),
        entry(
            new EntryMessage.CacheSeen(
                new CacheEvent(
                    UPSTREAM, new Incarnation(5), 8, List.of(Long.MIN_VALUE, 3L), List.of()))),
        control(new ControlMessage.NotLeader(MEMBER, Optional.of(new MemberId("control-2")), 7)),
        control(
            new ControlMessage.Welcome(MEMBER, FENCING, new Revision(300), 3_000, true, 70_000)),
        control(new ControlMessage.ConfigurationUpdate(FENCING, configuration(3, 4))),
        control(new ControlMessage.Grant(REQUEST, UPSTREAM, new Incarnation(5), ADDRESS, FENCING)),
        control(new ControlMessage.Refused(REQUEST, RefusalKind.SHED, 1_500)),
        control(
            new ControlMessage.ClaimExists(
                REQUEST,
                new RequestId("entry-2-9-77"),
                ClaimState.RUNNING,
                Optional.of(UPSTREAM),
                Optional.of(ADDRESS))));
  }

  static Configuration configuration(int customers, int upstreams) {
    PoolId pool = new PoolId("tutor");
    Map<CustomerId, Customer> customerById = new HashMap<>();
    for (int i = 0; i < customers; i++) {
      CustomerId id = new CustomerId("division-" + i);
      List<String> keys = List.of(String.format("%064x", i));
      customerById.put(id, new Customer(id, new Tier(1 + i % 5), keys, 50, 100, 1));
    }
    Map<UpstreamId, AllowedUpstream> upstreamById = new HashMap<>();
    for (int i = 0; i < upstreams; i++) {
      UpstreamId id = new UpstreamId("tutor-llm-" + i);
      upstreamById.put(id, new AllowedUpstream(id, pool, HASH, false, i % 2 == 0));
    }
    return new Configuration(
        new Revision(300),
        tiers(),
        customerById,
        Map.of(pool, new Pool(pool, 5_000, 0)),
        routes(pool),
        upstreamById);
  }

  private static Map<Tier, TierDefinition> tiers() {
    Map<Tier, TierDefinition> tiers = new HashMap<>();
    for (int rank = 1; rank <= 5; rank++) {
      tiers.put(new Tier(rank), new TierDefinition(new Tier(rank), "tier-" + rank));
    }
    return tiers;
  }

  private static Map<RouteId, Route> routes(PoolId pool) {
    RouteTarget model =
        new RouteTarget.ModelTarget(
            new ModelId("tutor"), new ModelVersion("7"), Optional.of(new AdapterId("quiz")));
    RouteTarget service =
        new RouteTarget.ServiceTarget(new ServiceId("portal-app"), Set.of("POST"));
    RouteId first = new RouteId("tutor");
    RouteId second = new RouteId("portal");
    return Map.of(first, new Route(first, model, pool), second, new Route(second, service, pool));
  }

  private static Announcement announcement() {
    return new Announcement(
        UPSTREAM,
        new Incarnation(5),
        99,
        ADDRESS,
        new DataCenterId("regina-a"),
        UpstreamRole.GENERATE,
        UpstreamPhase.SERVING,
        List.of(
            new ServedModel(
                new ModelId("tutor"), new ModelVersion("7"), Set.of(new AdapterId("quiz")))),
        Optional.empty(),
        32,
        200_000,
        new LoadReport(7, 1, 900, 4.5, 0.75, 250),
        5_000);
  }

  private static Ticket ticket() {
    return new Ticket(
        REQUEST,
        new CustomerId("division-1"),
        new Tier(2),
        new RouteId("tutor"),
        new PoolId("tutor"),
        RequestKind.GENERATION,
        900,
        210,
        List.of(1L, -2L, Long.MAX_VALUE),
        15,
        4_000,
        Optional.of(new Claim(new IdempotencyKey("quiz-77"), HASH, true)));
  }

  private static SampleMessage<EntryMessage> entry(EntryMessage message) {
    return new SampleMessage<>(EntryMessage.class, message);
  }

  private static SampleMessage<ControlMessage> control(ControlMessage message) {
    return new SampleMessage<>(ControlMessage.class, message);
  }
}
