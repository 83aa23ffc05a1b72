package org.teaseltrail.session;

import java.util.ArrayList;
import java.util.List;
import java.util.Optional;
import java.util.SplittableRandom;
import java.util.stream.Stream;
import org.teaseltrail.core.configuration.AllowedUpstream;
import org.teaseltrail.core.configuration.ConfigurationChange;
import org.teaseltrail.core.configuration.Customer;
import org.teaseltrail.core.configuration.Pool;
import org.teaseltrail.core.configuration.Route;
import org.teaseltrail.core.configuration.RouteTarget.ModelTarget;
import org.teaseltrail.core.configuration.TierDefinition;
import org.teaseltrail.core.id.CustomerId;
import org.teaseltrail.core.id.MemberId;
import org.teaseltrail.core.id.ModelId;
import org.teaseltrail.core.id.ModelVersion;
import org.teaseltrail.core.id.PoolId;
import org.teaseltrail.core.id.RouteId;
import org.teaseltrail.core.id.Tier;
import org.teaseltrail.core.id.UpstreamId;
import org.teaseltrail.core.id.VmId;
import org.teaseltrail.core.replication.EntryPayload;
import org.teaseltrail.core.replication.GroupId;
import org.teaseltrail.core.replication.LogEntry;
import org.teaseltrail.core.replication.Member;
import org.teaseltrail.core.replication.Membership;
import org.teaseltrail.core.replication.ReplicaSettings;
import org.teaseltrail.core.state.StateCodec;
import org.teaseltrail.core.upstream.SocketAddress;

/**
 * Simulates a small deployment: control members, entry VMs, engines, callers and an operator under
 * one virtual clock.
 */
final class SimulatedCluster {

  static final GroupId GROUP = new GroupId("group");
  static final ModelTarget MODEL =
      new ModelTarget(new ModelId("tutor"), new ModelVersion("1"), Optional.empty());
  static final String SECRET_HASH = "5e".repeat(32);
  static final int TIERS = 3;
  private static final int MEMBERS = 3;
  private static final int ELECTION_TIMEOUT_STEP_MS = 100;
  private static final long MAX_WAITING_MS = 2_000;
  private static final int LOST_RESPONSES_PERCENT = 20;
  private static final long SETTLE_NS = 6_000 * Timeline.MS;

  private final Timeline timeline = new Timeline();
  private final SplittableRandom random;
  private final Network network;
  private final Trace trace = new Trace(timeline);
  private final InvariantChecker invariants = new InvariantChecker(this);
  private final SubmissionRegistry callers = new SubmissionRegistry(this);
  private final EngineRequestTracker engineRequests = new EngineRequestTracker(this);
  private final StateCodec codec = new InMemoryStateCodec();
  private final OperatorClient operator;
  private final List<ControlProcess> members = new ArrayList<>();
  private final List<EntryProcess> entries = new ArrayList<>();
  private final List<EngineProcess> engines = new ArrayList<>();

  SimulatedCluster(long seed, int entryCount, int engineCount, boolean jitter) {
    this.random = new SplittableRandom(seed);
    this.network = new Network(this, jitter);
    this.operator = new OperatorClient(this, jitter ? LOST_RESPONSES_PERCENT : 0);
    LogEntry first = firstEntry();
    for (int i = 1; i <= MEMBERS; i++) {
      members.add(new ControlProcess(this, memberName(i), first, replicaSettings(i, jitter)));
    }
    for (int i = 1; i <= entryCount; i++) {
      entries.add(new EntryProcess(this, "entry-" + i));
    }
    for (int i = 1; i <= engineCount; i++) {
      engines.add(new EngineProcess(this, "engine-" + i));
    }
    timeline.afterEach(invariants::checkAfterStep);
  }

  /** Starts all processes, applies the initial configuration and waits until they settle. */
  void startAndConfigure() {
    processes().forEach(SimulatedProcess::start);
    timeline.runFor(SETTLE_NS / 2);
    operator.change("setup", Optional.empty(), initialConfiguration());
    timeline.runFor(SETTLE_NS / 2);
    trace.start();
  }

  private static String memberName(int number) {
    return "control-" + number;
  }

  /**
   * Returns the default settings. Without jitter, the election timeouts are fixed and increase from
   * member to member, so that the outcome of elections is deterministic.
   */
  private static ReplicaSettings replicaSettings(int number, boolean jitter) {
    ReplicaSettings base = ReplicaSettings.defaults();
    int electionTimeoutMs = base.electionTimeoutMinMs() + (number - 1) * ELECTION_TIMEOUT_STEP_MS;
    return jitter
        ? base
        : new ReplicaSettings(
            base.heartbeatMs(),
            base.leaseMs(),
            base.leaseMarginPerMille(),
            electionTimeoutMs,
            electionTimeoutMs,
            base.maxBatchEntries(),
            base.maxBatchBytes(),
            base.maxInflightMessages(),
            base.maxInflightBytes(),
            base.maxUncommittedBytes(),
            base.snapshots());
  }

  private static LogEntry firstEntry() {
    List<Member> voters = new ArrayList<>();
    for (int i = 1; i <= MEMBERS; i++) {
      voters.add(new Member(new MemberId(memberName(i)), new VmId(memberName(i))));
    }
    return new LogEntry(
        1, 0, new EntryPayload.MembershipPayload(new Membership(voters, List.of())));
  }

  private List<ConfigurationChange> initialConfiguration() {
    PoolId pool = new PoolId("pool");
    List<ConfigurationChange> items = new ArrayList<>();
    items.add(new ConfigurationChange.PutPool(new Pool(pool, MAX_WAITING_MS, 0)));
    items.add(new ConfigurationChange.PutRoute(new Route(new RouteId("route"), MODEL, pool)));
    for (int rank = 1; rank <= TIERS; rank++) {
      Tier tier = new Tier(rank);
      items.add(new ConfigurationChange.PutTier(new TierDefinition(tier, "tier " + rank)));
      items.add(
          new ConfigurationChange.PutCustomer(
              new Customer(
                  new CustomerId("customer-" + rank), tier, List.of(keyHash(rank)), 0, 0, 1)));
    }
    for (EngineProcess engine : engines) {
      items.add(
          new ConfigurationChange.PutUpstream(
              new AllowedUpstream(engine.id(), pool, SECRET_HASH, false, true)));
    }
    return items;
  }

  static String keyHash(int rank) {
    return "0".repeat(63) + rank;
  }

  Timeline timeline() {
    return timeline;
  }

  SplittableRandom random() {
    return random;
  }

  Network network() {
    return network;
  }

  Trace trace() {
    return trace;
  }

  InvariantChecker invariants() {
    return invariants;
  }

  SubmissionRegistry callers() {
    return callers;
  }

  EngineRequestTracker engineRequests() {
    return engineRequests;
  }

  StateCodec codec() {
    return codec;
  }

  OperatorClient operator() {
    return operator;
  }

  List<ControlProcess> members() {
    return members;
  }

  List<EntryProcess> entries() {
    return entries;
  }

  List<EngineProcess> engines() {
    return engines;
  }

  List<SimulatedProcess> processes() {
    return Stream.of(members, entries, engines).<SimulatedProcess>flatMap(List::stream).toList();
  }

  long drainedSinceNs(UpstreamId upstream) {
    return invariants.drainedSinceNs(upstream);
  }

  ControlProcess member(MemberId id) {
    return members.stream().filter(m -> m.id().equals(id)).findFirst().orElseThrow();
  }

  EngineProcess engine(SocketAddress address) {
    return engines.stream().filter(e -> e.address().equals(address)).findFirst().orElseThrow();
  }

  Optional<ControlProcess> leader() {
    return members.stream().filter(ControlProcess::hasValidLease).findFirst();
  }

  /** Returns the process with the given name in a script; "leader" is the current leader. */
  SimulatedProcess process(String name) {
    if (name.equals("leader")) {
      return leader().orElseThrow();
    }
    return processes().stream().filter(p -> p.name().equals(name)).findFirst().orElseThrow();
  }

  /** Returns a random entry VM that listens and is not partitioned from the given process. */
  Optional<EntryProcess> randomReachableEntry(SimulatedProcess caller) {
    List<EntryProcess> candidates =
        entries.stream()
            .filter(EntryProcess::isListening)
            .filter(entry -> !network.isPartitioned(caller, entry))
            .toList();
    return candidates.isEmpty()
        ? Optional.empty()
        : Optional.of(candidates.get(random.nextInt(candidates.size())));
  }
}
