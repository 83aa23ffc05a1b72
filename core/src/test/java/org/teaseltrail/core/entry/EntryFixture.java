package org.teaseltrail.core.entry;

import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
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
import org.teaseltrail.core.configuration.RouteTarget.ModelTarget;
import org.teaseltrail.core.configuration.RouteTarget.ServiceTarget;
import org.teaseltrail.core.configuration.TierDefinition;
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
import org.teaseltrail.core.message.ControlMessage;
import org.teaseltrail.core.message.EntryMessage;
import org.teaseltrail.core.message.Usage;
import org.teaseltrail.core.request.Outcome;
import org.teaseltrail.core.request.StreamFrame;
import org.teaseltrail.core.upstream.Announcement;
import org.teaseltrail.core.upstream.LoadReport;
import org.teaseltrail.core.upstream.SocketAddress;
import org.teaseltrail.core.upstream.UpstreamPhase;
import org.teaseltrail.core.upstream.UpstreamRole;

/** Runs an entry VM's state machine with simulated time and records its actions. */
final class EntryFixture {

  static final MemberId C1 = new MemberId("c1");
  static final MemberId C2 = new MemberId("c2");
  static final UpstreamId U1 = new UpstreamId("u1");
  static final SocketAddress ADDRESS = new SocketAddress("10.0.0.1", 9000);
  static final String SECRET_HASH = "5ec2e7";
  static final int TIERS = 3;
  private static final long MILLI = 1_000_000;

  /**
   * Long enough that a step of simulated time over several hellos doesn't count as a lost
   * connection.
   */
  static final long SILENCE_MS = 60_000;

  final EntryNode node = new EntryNode(settings());
  final List<EntryAction> actions = new ArrayList<>();
  long nowNs = 7_000 * MILLI;
  private long requests;

  private static EntrySettings settings() {
    EntrySettings defaults =
        EntrySettings.defaults(new VmId("entry-1"), new Incarnation(1), new DataCenterId("a"));
    return new EntrySettings(
        defaults.vm(),
        defaults.incarnation(),
        defaults.dataCenter(),
        defaults.helloIntervalMs(),
        SILENCE_MS,
        defaults.sheddingDelayMs(),
        defaults.sheddingStepMs(),
        defaults.resumeBackoffMs(),
        defaults.progressIntervalMs(),
        defaults.balancerDelayMs(),
        defaults.maxRequests());
  }

  static Configuration configuration(long revision, boolean draining) {
    PoolId pool = new PoolId("p");
    Map<Tier, TierDefinition> tiers = new HashMap<>();
    Map<CustomerId, Customer> customers = new HashMap<>();
    for (int rank = 1; rank <= TIERS; rank++) {
      Tier tier = new Tier(rank);
      CustomerId id = new CustomerId("customer-" + rank);
      tiers.put(tier, new TierDefinition(tier, "tier " + rank));
      customers.put(id, new Customer(id, tier, List.of("key-" + rank), 0, 0, 1));
    }
    ModelTarget model = new ModelTarget(new ModelId("m"), new ModelVersion("1"), Optional.empty());
    ServiceTarget service = new ServiceTarget(new ServiceId("s"), Set.of("POST"));
    return new Configuration(
        new Revision(revision),
        tiers,
        customers,
        Map.of(pool, new Pool(pool, 1_000, 0)),
        Map.of(
            new RouteId("m"), new Route(new RouteId("m"), model, pool),
            new RouteId("s"), new Route(new RouteId("s"), service, pool)),
        Map.of(U1, new AllowedUpstream(U1, pool, SECRET_HASH, draining, true)));
  }

  List<EntryAction> send(EntryEvent event) {
    List<EntryAction> done = node.handle(event, nowNs);
    actions.addAll(done);
    return done;
  }

  void advance(long durationMs) {
    nowNs += durationMs * MILLI;
    send(new EntryEvent.Tick());
  }

  /** Connects a member, which then answers the hello as the leader. */
  void join(MemberId member, long fencing, long revision) {
    send(new EntryEvent.ControlConnected(member));
    receive(member, update(fencing, revision));
    welcome(member, fencing, revision);
  }

  static ControlMessage update(long fencing, long revision) {
    return new ControlMessage.ConfigurationUpdate(
        new FencingNumber(fencing), configuration(revision, false));
  }

  List<EntryAction> welcome(MemberId member, long fencing, long revision) {
    return receive(
        member,
        new ControlMessage.Welcome(
            member,
            new FencingNumber(fencing),
            new Revision(revision),
            3_000,
            false,
            lastHello(member)));
  }

  long lastHello(MemberId member) {
    return actions.stream()
        .filter(EntryAction.SendControl.class::isInstance)
        .map(EntryAction.SendControl.class::cast)
        .filter(send -> send.member().equals(member))
        .filter(send -> send.message() instanceof EntryMessage.Hello)
        .mapToLong(send -> ((EntryMessage.Hello) send.message()).sequence())
        .max()
        .orElse(0);
  }

  List<EntryAction> receive(MemberId member, ControlMessage message) {
    return send(new EntryEvent.ControlReceived(member, message));
  }

  RequestId arrive(int rank) {
    return arrive(rank, Optional.empty(), 0, Optional.empty());
  }

  RequestId arrive(int rank, Optional<String> key, long deadlineMs, Optional<Long> last) {
    return arriveWith(call(rank, key, deadlineMs, last));
  }

  static CallerCall call(int rank, Optional<String> key, long deadlineMs, Optional<Long> last) {
    CallTarget target =
        new CallTarget.Generation(
            new ModelId("m"),
            Optional.empty(),
            Optional.empty(),
            "a prompt".getBytes(StandardCharsets.UTF_8),
            100);
    return new CallerCall(
        Optional.of("key-" + rank),
        target,
        key.isEmpty(),
        key.map(IdempotencyKey::new),
        "digest",
        deadlineMs,
        last);
  }

  RequestId arriveWith(CallerCall call) {
    requests++;
    RequestId id = new RequestId("r-" + requests);
    send(new EntryEvent.RequestArrived(id, call));
    return id;
  }

  List<EntryAction> grant(MemberId member, RequestId request, long fencing) {
    return receive(member, grantOf(request, fencing));
  }

  List<EntryAction> recall(MemberId member, RequestId request, long fencing) {
    return receive(member, new ControlMessage.Recall(request, U1, new FencingNumber(fencing)));
  }

  static ControlMessage grantOf(RequestId request, long fencing) {
    return new ControlMessage.Grant(
        request, U1, new Incarnation(1), ADDRESS, new FencingNumber(fencing));
  }

  /** Grants a request and establishes its connection, so that it is dispatched. */
  void dispatch(RequestId request) {
    grant(C1, request, 1);
    connected(request);
  }

  List<EntryAction> connected(RequestId request) {
    return send(new EntryEvent.UpstreamConnected(request, attempt(request)));
  }

  List<EntryAction> broken(RequestId request) {
    return send(new EntryEvent.StreamBroken(request, attempt(request)));
  }

  List<EntryAction> frame(RequestId request, StreamFrame frame) {
    return send(new EntryEvent.FrameReceived(request, attempt(request), frame));
  }

  int attempt(RequestId request) {
    int attempt = 0;
    for (EntryAction action : actions) {
      if (action instanceof EntryAction.Connect c && c.request().equals(request)) {
        attempt = c.attempt();
      } else if (action instanceof EntryAction.Resume r && r.request().equals(request)) {
        attempt = r.attempt();
      }
    }
    return attempt;
  }

  static StreamFrame text(RequestId stream, long sequence) {
    return new StreamFrame.Text(stream, sequence, stream + "/" + sequence);
  }

  static StreamFrame end(RequestId stream, long sequence) {
    return new StreamFrame.End(stream, sequence, new Usage(2, 0, (int) sequence));
  }

  void announce(UpstreamPhase phase, long sequence) {
    send(new EntryEvent.AnnouncementReceived(1, announcement(phase, sequence), SECRET_HASH));
  }

  static Announcement announcement(UpstreamPhase phase, long sequence) {
    return new Announcement(
        U1,
        new Incarnation(1),
        sequence,
        ADDRESS,
        new DataCenterId("a"),
        UpstreamRole.GENERATE,
        phase,
        List.of(),
        Optional.empty(),
        8,
        10_000,
        new LoadReport(0, 0, 0, 4, 0, 0),
        3_000);
  }

  <T extends EntryAction> List<T> actionsOfType(Class<T> type) {
    return actions.stream().filter(type::isInstance).map(type::cast).toList();
  }

  <T extends EntryMessage> List<T> sentMessages(Class<T> type) {
    return actionsOfType(EntryAction.SendControl.class).stream()
        .map(EntryAction.SendControl::message)
        .filter(type::isInstance)
        .map(type::cast)
        .toList();
  }

  Optional<Outcome> outcome(RequestId request) {
    return actionsOfType(EntryAction.Conclude.class).stream()
        .filter(conclude -> conclude.request().equals(request))
        .map(EntryAction.Conclude::outcome)
        .findFirst();
  }

  long transmitCount(RequestId request) {
    return actionsOfType(EntryAction.Transmit.class).stream()
        .filter(transmit -> transmit.request().equals(request))
        .count();
  }

  List<String> delivered(RequestId request) {
    return actionsOfType(EntryAction.Deliver.class).stream()
        .filter(deliver -> deliver.request().equals(request))
        .map(deliver -> deliver.frame().text())
        .toList();
  }
}
