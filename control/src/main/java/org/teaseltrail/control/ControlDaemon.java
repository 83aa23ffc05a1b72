package org.teaseltrail.control;

import io.grpc.Server;
import io.grpc.netty.NettyServerBuilder;
import java.net.InetSocketAddress;
import java.security.SecureRandom;
import java.util.List;
import java.util.Optional;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.TimeUnit;
import java.util.random.RandomGenerator;
import org.teaseltrail.core.control.ControlEvent;
import org.teaseltrail.core.control.ControlMember;
import org.teaseltrail.core.control.OperatorRequest;
import org.teaseltrail.core.control.OperatorResult;
import org.teaseltrail.core.id.VmId;
import org.teaseltrail.core.message.ControlMessage;
import org.teaseltrail.core.message.EntryMessage;
import org.teaseltrail.core.message.GroupMessage;
import org.teaseltrail.core.message.GroupReply;
import org.teaseltrail.core.registry.HeartbeatFailure;
import org.teaseltrail.core.replication.Member;
import org.teaseltrail.core.replication.Replica;
import org.teaseltrail.core.replication.ReplicaSettings;
import org.teaseltrail.core.schedule.PoolScheduler;
import org.teaseltrail.core.schedule.SchedulerSettings;
import org.teaseltrail.core.serving.ServingMessage;
import org.teaseltrail.core.serving.ServingReply;
import org.teaseltrail.core.upstream.SocketAddress;
import org.teaseltrail.runtime.clock.SuspendAwareClock;
import org.teaseltrail.runtime.log.ComponentLogger;
import org.teaseltrail.runtime.process.ExitCode;
import org.teaseltrail.runtime.process.ProgramException;
import org.teaseltrail.runtime.process.StartSequence;
import org.teaseltrail.storage.ReplicaStorage;
import org.teaseltrail.storage.StorageException;
import org.teaseltrail.wire.ClientType;
import org.teaseltrail.wire.FrameEndpoint;
import org.teaseltrail.wire.FrameLimits;
import org.teaseltrail.wire.FrameServer;
import org.teaseltrail.wire.MessageCodec;
import org.teaseltrail.wire.MessagePackStateCodec;

/**
 * Runs a control member: connects its event loop to the network, the data folder and the metrics.
 */
public final class ControlDaemon implements SupervisedMember {

  private static final long NS_PER_MS = 1_000_000L;

  private static final long OPERATOR_SHUTDOWN_TIMEOUT_MS = 1_000;

  private final ComponentLogger logger = new ComponentLogger("control");
  private final CompletableFuture<ExitCode> ended = new CompletableFuture<>();
  private final SuspendAwareClock clock = new SuspendAwareClock();
  private final MemberFailureLogger failures;
  private final SlowOperationLogger slow;
  private final ControlEventLoop loop;
  private final MessageCodec codec = new MessageCodec();
  private final EntryVmConnections<EntryMessage, ControlMessage> entryVms =
      new EntryVmConnections<>(ControlEvent.FromEntry::new, vm -> {}, this::post);
  private final EntryVmConnections<ServingMessage, ServingReply> servingVms =
      new EntryVmConnections<>(
          (vm, message) -> new ControlEvent.FromServingVm(message),
          vm -> post(new ControlEvent.ServingVmConnected(vm)),
          this::post);
  private final OperatorCallTracker calls = new OperatorCallTracker(this::post);
  private final ControlMetrics metrics;
  private final PeerConnections peers;
  private final NotLeaderResponseFactory notLeaderResponses;
  private final DataFolderWriter writes;
  private final SnapshotEncoder snapshots;
  private final ActionExecutor actionExecutor;
  private final FrameServer frames;
  private final Optional<Server> operators;
  private final Optional<GroupJoinClient> joinClient;
  private final GroupChangeNotifier group;
  private final HealthServer health;

  private ControlDaemon(
      ControlOptions options, ReplicaStorage folder, long silentMs, StartSequence start)
      throws ProgramException {
    failures = new MemberFailureLogger(options.log());
    slow = new SlowOperationLogger(options.log());
    loop = new ControlEventLoop(clock, slow);
    metrics = new ControlMetrics(entryVms, loop);
    RandomGenerator random = new SecureRandom();
    Member member = folder.identity().member();
    VmAddressResolver directory =
        options.bootstrap().isPresent()
            ? VmAddressResolver.fromVmName()
            : VmAddressResolver.ofPeers(options.members());
    peers = new PeerConnections(member, directory, codec, random, loop::post);
    notLeaderResponses = new NotLeaderResponseFactory(member.id(), options.operatorAddresses());
    writes = new DataFolderWriter(folder, loop::post, this::writesFailed, slow);
    final ControlMember decisions = decisions(options, folder, silentMs, random);
    snapshots = new SnapshotEncoder(new MessagePackStateCodec(codec), loop::post, this::loopFailed);
    joinClient =
        options
            .bootstrap()
            .map(
                bootstrap ->
                    new GroupJoinClient(options.group(), member, bootstrap, codec, random));
    JoinRequestHandler joinHandler = new JoinRequestHandler(options.group(), loop::post);
    group = new GroupChangeNotifier(peers, notLeaderResponses, joinHandler, joinClient);
    LogSizeReporter logSize = new LogSizeReporter(options.log(), clock);
    metrics.publish(logSize);
    actionExecutor =
        new ActionExecutor(
            new ActionTargets(
                writes,
                snapshots,
                peers,
                entryVms,
                servingVms,
                new EngineOrderClient(loop::post),
                calls,
                metrics,
                logSize,
                group,
                options.log()),
            () -> decisions.isLeaseValid(clock.nowNs()));
    start.onFailure(metrics::close);
    start.onFailure(snapshots::close);
    start.onFailure(peers::close);
    joinClient.ifPresent(client -> start.onFailure(client::close));
    operators = operators(options, start);
    health =
        start.listen(
            options.listenMetrics(),
            () ->
                new HealthServer(
                    options.listenMetrics(), actionExecutor::knowsLeader, metrics::scrape),
            HealthServer::close);
    frames = start.listen(options.listen(), () -> frames(options, joinHandler), FrameServer::close);
    writes.start();
    options.members().forEach(peer -> peers.connect(peer.vm()));
    loop.start(
        decisions,
        actionExecutor::run,
        () -> {
          actionExecutor.flush();
          logSize.update(decisions.logStatus());
        },
        this::loopFailed);
    loop.post(new ControlEvent.Tick());
    logger.info(
        "Member "
            + member.id()
            + " listens on "
            + options.listen()
            + options.listenOperators().map(at -> ", for operators on " + at).orElse("")
            + ".");
  }

  /**
   * Starts a member.
   *
   * @param folder the member's data folder; closed if the start fails
   * @throws ProgramException if an address can't be bound in time, or the start is cancelled
   */
  static ControlDaemon start(ControlOptions options, ReplicaStorage folder, long knownDowntimeMs)
      throws ProgramException {
    try (StartSequence start = new StartSequence(options.log())) {
      start.onFailure(folder::close);
      ControlDaemon daemon = new ControlDaemon(options, folder, knownDowntimeMs, start);
      start.complete();
      return daemon;
    }
  }

  /**
   * Starts a member of a group that bootstraps itself.
   *
   * @param options the member's options, including those of the bootstrap
   * @param knownDowntimeMs time for which no earlier instance of the member is known to have run,
   *     in milliseconds
   * @return the running member
   * @throws ProgramException if the member can't start
   */
  public static ControlDaemon start(ControlOptions options, long knownDowntimeMs)
      throws ProgramException {
    return ControlProgram.start(options, StartMode.GO_ON, knownDowntimeMs);
  }

  /**
   * Passes a request to the member.
   *
   * @param request the request
   * @return the result; it may stay incomplete for as long as no quorum is reachable
   */
  @Override
  public CompletableFuture<OperatorResult> call(OperatorRequest request) {
    return calls.call(request);
  }

  /**
   * Adds VMs to which the member sends its requests to join while it is not part of the group.
   *
   * @param seeds the VMs
   */
  @Override
  public void seeds(List<VmId> seeds) {
    joinClient.ifPresent(present -> present.addCandidates(seeds));
  }

  /**
   * Returns the VM of the leader.
   *
   * @return the VM, which may be this one, if the member knows a leader
   */
  @Override
  public Optional<VmId> leaderVm() {
    return group.leaderVm();
  }

  @Override
  public void onHeartbeatRefused(HeartbeatFailure failure) {
    metrics.countRefusedHeartbeat(failure);
  }

  @Override
  public CompletableFuture<ExitCode> terminationFuture() {
    return ended;
  }

  /** Transfers leadership first, so that another member continues scheduling, then shuts down. */
  @Override
  public void close() {
    new ShutdownSteps()
        .run(() -> loop.post(new ControlEvent.HandOver()))
        .run(actionExecutor::awaitLeadershipTransfer)
        .run(() -> operators.ifPresent(Server::shutdown))
        .run(calls::end)
        .run(() -> operators.ifPresent(ControlDaemon::awaitOperatorCalls))
        .run(() -> joinClient.ifPresent(GroupJoinClient::close))
        .run(loop::stop)
        .run(frames::close)
        .run(peers::close)
        .run(snapshots::close)
        .run(writes::close)
        .run(health::close)
        .run(metrics::close)
        .throwFailure();
  }

  private void post(ControlEvent event) {
    loop.post(event);
  }

  private ControlMember decisions(
      ControlOptions options, ReplicaStorage folder, long silentMs, RandomGenerator random) {
    Member member = folder.identity().member();
    Replica replica =
        new Replica(
            options.group(),
            member.id(),
            ReplicaSettings.defaults(),
            folder.takeRecoveredState(),
            random,
            clock.nowNs() - silentMs * NS_PER_MS,
            clock.nowNs());
    return new ControlMember(
        member.id(),
        options.control(),
        replica,
        new MessagePackStateCodec(codec),
        (pool, fencing, seed) ->
            new PoolScheduler(pool, fencing, SchedulerSettings.defaults(), seed));
  }

  private FrameEndpoint<EntryMessage, ControlMessage> entry() {
    return new FrameEndpoint<>(
        ClientType.ENTRY_VM, EntryMessage.class, ControlMessage.class, entryVms);
  }

  private FrameEndpoint<?, ?> serving() {
    return new FrameEndpoint<>(
        ClientType.SERVING_VM, ServingMessage.class, ServingReply.class, servingVms);
  }

  private static FrameEndpoint<?, ?> joining(JoinRequestHandler joinHandler) {
    return new FrameEndpoint<>(
        ClientType.JOINING_MEMBER, GroupMessage.class, GroupReply.class, joinHandler);
  }

  private FrameServer frames(ControlOptions options, JoinRequestHandler joinHandler) {
    return FrameServer.listen(
        address(options),
        FrameLimits.defaults(),
        codec,
        entry(),
        serving(),
        peer(),
        joining(joinHandler));
  }

  private Optional<Server> operators(ControlOptions options, StartSequence start)
      throws ProgramException {
    if (options.listenOperators().isEmpty()) {
      return Optional.empty();
    }
    InetSocketAddress address = options.listenOperators().get();
    OperatorService service = new OperatorService(options.region(), calls, notLeaderResponses);
    return Optional.of(
        start.listen(
            address,
            () -> NettyServerBuilder.forAddress(address).addService(service).build().start(),
            Server::shutdownNow));
  }

  private FrameEndpoint<?, ?> peer() {
    return peers.endpoint();
  }

  private static SocketAddress address(ControlOptions options) {
    return new SocketAddress(options.listen().getHostString(), options.listen().getPort());
  }

  private static void awaitOperatorCalls(Server operators) {
    try {
      operators.awaitTermination(OPERATOR_SHUTDOWN_TIMEOUT_MS, TimeUnit.MILLISECONDS);
    } catch (InterruptedException e) {
      Thread.currentThread().interrupt();
    }
    operators.shutdownNow();
  }

  private void writesFailed(Throwable failure) {
    if (failure instanceof StorageException) {
      stop("Failed to write to the data folder; the member stops.", failure, ExitCode.DATA);
    } else {
      loopFailed(failure);
    }
  }

  private void loopFailed(Throwable failure) {
    stop("Unexpected error; the member stops.", failure, ExitCode.INTERNAL);
  }

  private void stop(String sentence, Throwable failure, ExitCode exitCode) {
    failures.memberFailed(sentence, failure, exitCode);
    ended.complete(exitCode);
  }
}
