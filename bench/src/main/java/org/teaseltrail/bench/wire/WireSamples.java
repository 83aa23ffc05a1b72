package org.teaseltrail.bench.wire;

import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import java.util.SplittableRandom;
import org.teaseltrail.core.configuration.AllowedUpstream;
import org.teaseltrail.core.configuration.Configuration;
import org.teaseltrail.core.configuration.Customer;
import org.teaseltrail.core.configuration.Pool;
import org.teaseltrail.core.configuration.Route;
import org.teaseltrail.core.configuration.RouteTarget.ModelTarget;
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
import org.teaseltrail.core.upstream.CacheEvent;
import org.teaseltrail.core.upstream.LoadReport;
import org.teaseltrail.core.upstream.ServedModel;
import org.teaseltrail.core.upstream.SocketAddress;
import org.teaseltrail.core.upstream.UpstreamPhase;
import org.teaseltrail.core.upstream.UpstreamRole;

/** Creates the sample messages, with ids and hashes of realistic length. */
final class WireSamples {

  private static final int BLOCK_TOKENS = 256;
  private static final int TIERS = 5;
  private static final int MODELS = 5;
  private static final long SEED = 5;
  private static final RequestId REQUEST = new RequestId("entry-17-1764700000000-104729");
  private static final UpstreamId UPSTREAM = new UpstreamId("tutor-llm-731");
  private static final SocketAddress ADDRESS = new SocketAddress("10.12.34.56", 19_101);
  private static final FencingNumber FENCING = new FencingNumber(1_204);
  private static final Incarnation INCARNATION = new Incarnation(1_764_700_000_000L);

  private WireSamples() {}

  static EntryMessage hello() {
    return new EntryMessage.Hello(
        new VmId("entry-17"),
        INCARNATION,
        new DataCenterId("regina-a"),
        new Revision(123_456),
        1_000_000);
  }

  static ControlMessage welcome() {
    return new ControlMessage.Welcome(
        new MemberId("control-2"), FENCING, new Revision(123_456), 3_000, false, 1_000_000);
  }

  static EntryMessage offer(int promptTokens, boolean keyed) {
    Optional<Claim> claim =
        keyed
            ? Optional.of(new Claim(new IdempotencyKey("report-2026-12-02-0017"), hash(1), true))
            : Optional.empty();
    return new EntryMessage.Offer(
        new Ticket(
            REQUEST,
            new CustomerId("prairie-trustees"),
            new Tier(2),
            new RouteId("tutor"),
            new PoolId("tutor"),
            RequestKind.GENERATION,
            promptTokens,
            400,
            blocks(promptTokens / BLOCK_TOKENS),
            2,
            6_000,
            claim));
  }

  static ControlMessage grant() {
    return new ControlMessage.Grant(REQUEST, UPSTREAM, INCARNATION, ADDRESS, FENCING);
  }

  static EntryMessage firstToken() {
    return new EntryMessage.FirstToken(REQUEST, UPSTREAM, 180);
  }

  static EntryMessage progress() {
    return new EntryMessage.Progress(REQUEST, UPSTREAM, 150);
  }

  static EntryMessage ended() {
    Usage usage = new Usage(900, 512, 210);
    return new EntryMessage.Ended(REQUEST, UPSTREAM, EndKind.COMPLETED, usage, 2_100);
  }

  static EntryMessage upstreamSeen() {
    ServedModel model =
        new ServedModel(
            new ModelId("tutor"),
            new ModelVersion("2026-11"),
            Set.of(new AdapterId("quiz"), new AdapterId("review")));
    return new EntryMessage.UpstreamSeen(
        new Announcement(
            UPSTREAM,
            INCARNATION,
            86_400,
            ADDRESS,
            new DataCenterId("regina-a"),
            UpstreamRole.GENERATE,
            UpstreamPhase.SERVING,
            List.of(model),
            Optional.empty(),
            32,
            240_000,
            new LoadReport(27, 3, 9_000, 6.25, 0.93, 600),
            3_000),
        4);
  }

  static EntryMessage cacheSeen(int blocks) {
    return new EntryMessage.CacheSeen(
        new CacheEvent(UPSTREAM, INCARNATION, 5_000, blocks(blocks / 2), blocks(blocks / 2)));
  }

  static ControlMessage configuration(int customers, int upstreams) {
    Map<Tier, TierDefinition> tiers = new HashMap<>();
    for (int rank = 1; rank <= TIERS; rank++) {
      tiers.put(new Tier(rank), new TierDefinition(new Tier(rank), "tier-" + rank));
    }
    Map<PoolId, Pool> pools = new HashMap<>();
    Map<RouteId, Route> routes = new HashMap<>();
    for (int i = 0; i < MODELS; i++) {
      PoolId pool = pool(i);
      RouteId route = new RouteId("route-" + i);
      ModelTarget target =
          new ModelTarget(new ModelId("model-" + i), new ModelVersion("1"), Optional.empty());
      pools.put(pool, new Pool(pool, 5_000, 4));
      routes.put(route, new Route(route, target, pool));
    }
    return new ControlMessage.ConfigurationUpdate(
        FENCING,
        new Configuration(
            new Revision(123_456),
            tiers,
            customers(customers),
            pools,
            routes,
            upstreams(upstreams)));
  }

  /** Returns the configuration of the next revision, with a changed rate limit of one customer. */
  static ControlMessage withChangedCustomer(ControlMessage before) {
    Configuration from = ((ControlMessage.ConfigurationUpdate) before).configuration();
    CustomerId id = new CustomerId("customer-0");
    Customer old = from.customers().get(id);
    Map<CustomerId, Customer> customers = new HashMap<>(from.customers());
    customers.put(id, new Customer(id, old.tier(), old.keyHashes(), 75, 150, old.weight()));
    return new ControlMessage.ConfigurationUpdate(
        FENCING,
        new Configuration(
            new Revision(from.revision().value() + 1),
            from.tiers(),
            customers,
            from.pools(),
            from.routes(),
            from.upstreams()));
  }

  private static Map<CustomerId, Customer> customers(int count) {
    Map<CustomerId, Customer> customers = new HashMap<>();
    for (int i = 0; i < count; i++) {
      CustomerId id = new CustomerId("customer-" + i);
      List<String> keys = List.of(hash(2 * i), hash(2 * i + 1));
      customers.put(id, new Customer(id, new Tier(1 + i % TIERS), keys, 50, 100, 1));
    }
    return customers;
  }

  private static Map<UpstreamId, AllowedUpstream> upstreams(int count) {
    Map<UpstreamId, AllowedUpstream> upstreams = new HashMap<>();
    for (int i = 0; i < count; i++) {
      UpstreamId id = new UpstreamId("tutor-llm-" + i);
      upstreams.put(id, new AllowedUpstream(id, pool(i % MODELS), hash(i), false, true));
    }
    return upstreams;
  }

  private static PoolId pool(int number) {
    return new PoolId("pool-" + number);
  }

  private static List<Long> blocks(int count) {
    return new SplittableRandom(SEED).longs(count).boxed().toList();
  }

  private static String hash(long seed) {
    StringBuilder hash = new StringBuilder();
    new SplittableRandom(seed).longs(4).forEach(part -> hash.append(String.format("%016x", part)));
    return hash.toString();
  }
}
