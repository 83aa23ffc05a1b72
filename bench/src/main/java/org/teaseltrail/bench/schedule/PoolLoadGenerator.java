package org.teaseltrail.bench.schedule;

import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.Deque;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Random;
import java.util.Set;
import org.teaseltrail.core.configuration.AllowedUpstream;
import org.teaseltrail.core.configuration.Configuration;
import org.teaseltrail.core.configuration.Customer;
import org.teaseltrail.core.configuration.Pool;
import org.teaseltrail.core.configuration.Route;
import org.teaseltrail.core.configuration.RouteTarget;
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
import org.teaseltrail.core.message.ControlMessage;
import org.teaseltrail.core.message.EndKind;
import org.teaseltrail.core.message.EntryMessage;
import org.teaseltrail.core.message.RequestKind;
import org.teaseltrail.core.message.Ticket;
import org.teaseltrail.core.message.Usage;
import org.teaseltrail.core.schedule.PoolScheduler;
import org.teaseltrail.core.schedule.SchedulerAction;
import org.teaseltrail.core.schedule.SchedulerEvent;
import org.teaseltrail.core.schedule.SchedulerSettings;
import org.teaseltrail.core.upstream.Announcement;
import org.teaseltrail.core.upstream.LoadReport;
import org.teaseltrail.core.upstream.ServedModel;
import org.teaseltrail.core.upstream.SocketAddress;
import org.teaseltrail.core.upstream.UpstreamPhase;
import org.teaseltrail.core.upstream.UpstreamRole;

/** Generates load for a scheduler with many upstreams, customers and queued tickets. */
public final class PoolLoadGenerator {

  private static final PoolId POOL = new PoolId("pool");
  private static final RouteId ROUTE = new RouteId("route");
  private static final ModelId MODEL = new ModelId("model");
  private static final ModelVersion VERSION = new ModelVersion("1");
  private static final int MAX_BATCH = 4;
  private static final int TIERS = 5;
  private static final int VMS = 370;
  private static final int BLOCKS = 16;
  private static final int BLOCK_TOKENS = 256;
  private static final long CACHE_TOKENS = 100_000;
  private static final long LIFETIME_MS = 1_000_000_000L;
  private static final long STEP_NS = 10_000;

  private final PoolScheduler scheduler =
      new PoolScheduler(POOL, new FencingNumber(1), SchedulerSettings.defaults(), 1);
  private final Random random = new Random(1);
  private final Deque<ControlMessage.Grant> running = new ArrayDeque<>();
  private final int upstreams;
  private final int customers;
  private long nowNs;
  private long created;

  /** Creates the pool with its upstreams announced and an empty queue. */
  public PoolLoadGenerator(int upstreams, int customers) {
    this.upstreams = upstreams;
    this.customers = customers;
    handle(new SchedulerEvent.ConfigurationChanged(configuration()));
    for (int i = 0; i < upstreams; i++) {
      sendMessage(new EntryMessage.UpstreamSeen(announcement(i), 0));
    }
  }

  /** Offers tickets until all slots are in use and the given number of tickets is queued. */
  public void fill(int waiting) {
    for (int i = 0; i < upstreams * MAX_BATCH + waiting; i++) {
      int before = running.size();
      offer();
      if (running.size() > before) {
        sendFirstToken(running.peekLast());
      }
    }
  }

  /** Completes the oldest request, so that the next one is granted, and offers a new one. */
  public int turn() {
    ControlMessage.Grant oldest = running.poll();
    sendMessage(
        new EntryMessage.Ended(
            oldest.request(),
            oldest.upstream(),
            EndKind.COMPLETED,
            new Usage(BLOCKS * BLOCK_TOKENS, 0, 100),
            1_000));
    sendFirstToken(running.peekLast());
    offer();
    return running.size();
  }

  private void sendFirstToken(ControlMessage.Grant grant) {
    sendMessage(new EntryMessage.FirstToken(grant.request(), grant.upstream(), 100));
  }

  private void offer() {
    long conversation = random.nextInt(100_000);
    List<Long> blocks = new ArrayList<>(BLOCKS);
    for (long i = 0; i < BLOCKS; i++) {
      blocks.add(conversation * BLOCKS + i);
    }
    int customer = random.nextInt(customers);
    sendMessage(
        new EntryMessage.Offer(
            new Ticket(
                new RequestId("request-" + ++created),
                new CustomerId("customer-" + customer),
                new Tier(1 + customer % TIERS),
                ROUTE,
                POOL,
                RequestKind.GENERATION,
                BLOCKS * BLOCK_TOKENS,
                50 + random.nextInt(200),
                blocks,
                0,
                0,
                Optional.empty())));
  }

  private void sendMessage(EntryMessage message) {
    handle(new SchedulerEvent.FromEntry(new VmId("vm-" + created % VMS), message));
  }

  private void handle(SchedulerEvent event) {
    nowNs += STEP_NS;
    for (SchedulerAction action : scheduler.handle(event, nowNs)) {
      if (action instanceof SchedulerAction.Send send
          && send.message() instanceof ControlMessage.Grant grant) {
        running.add(grant);
      }
    }
  }

  private Configuration configuration() {
    Map<CustomerId, Customer> customerMap = new HashMap<>();
    for (int i = 0; i < customers; i++) {
      CustomerId id = new CustomerId("customer-" + i);
      customerMap.put(id, new Customer(id, new Tier(1 + i % TIERS), List.of(), 0, 0, 1));
    }
    Map<UpstreamId, AllowedUpstream> upstreamMap = new HashMap<>();
    for (int i = 0; i < upstreams; i++) {
      UpstreamId id = new UpstreamId("upstream-" + i);
      upstreamMap.put(id, new AllowedUpstream(id, POOL, "", false, true));
    }
    Route route =
        new Route(ROUTE, new RouteTarget.ModelTarget(MODEL, VERSION, Optional.empty()), POOL);
    return new Configuration(
        new Revision(1),
        Map.of(),
        customerMap,
        Map.of(POOL, new Pool(POOL, Long.MAX_VALUE, 0)),
        Map.of(ROUTE, route),
        upstreamMap);
  }

  private static Announcement announcement(int number) {
    return new Announcement(
        new UpstreamId("upstream-" + number),
        new Incarnation(1),
        1,
        new SocketAddress("127.0.0.1", 9_000),
        new DataCenterId("place"),
        UpstreamRole.GENERATE,
        UpstreamPhase.SERVING,
        List.of(new ServedModel(MODEL, VERSION, Set.of())),
        Optional.empty(),
        MAX_BATCH,
        CACHE_TOKENS,
        new LoadReport(0, 0, 0, 4, 0, 0),
        LIFETIME_MS);
  }
}
