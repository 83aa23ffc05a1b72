package org.teaseltrail.control;

import io.grpc.Server;
import io.grpc.netty.NettyServerBuilder;
import java.io.IOException;
import java.security.SecureRandom;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.TimeUnit;
import java.util.random.RandomGenerator;
import org.teaseltrail.core.control.ControlEvent;
import org.teaseltrail.core.control.ControlMember;
import org.teaseltrail.core.message.ControlMessage;
import org.teaseltrail.core.message.EntryMessage;
import org.teaseltrail.core.replication.Member;
import org.teaseltrail.core.replication.Replica;
import org.teaseltrail.core.replication.ReplicaSettings;
import org.teaseltrail.core.schedule.PoolScheduler;
import org.teaseltrail.core.schedule.SchedulerSettings;
import org.teaseltrail.core.upstream.SocketAddress;
import org.teaseltrail.runtime.log.PartLogger;
import org.teaseltrail.runtime.process.ExitCode;
import org.teaseltrail.runtime.process.RunningProgram;
import org.teaseltrail.storage.StorageException;
import org.teaseltrail.storage.StorageFolder;
import org.teaseltrail.wire.FrameEndpoint;
import org.teaseltrail.wire.FrameLimits;
import org.teaseltrail.wire.FrameServer;
import org.teaseltrail.wire.MessageCodec;
import org.teaseltrail.wire.MessagePackStateCodec;
import org.teaseltrail.wire.SpeakerKind;

/** Is a running control member. */
final class ControlDaemon implements RunningProgram {

  private static final long OPERATOR_END_MS = 1_000;

  private final PartLogger logger = new PartLogger("control");
  private final CompletableFuture<ExitCode> ended = new CompletableFuture<>();
  private final MonotonicClock clock = new MonotonicClock();
  private final ControlLoop loop = new ControlLoop(clock);
  private final MessageCodec codec = new MessageCodec();
  private final EntryConnections entryVms = new EntryConnections(loop::post);
  private final OperatorCalls calls = new OperatorCalls(loop::post);
  private final ControlMetrics metrics = new ControlMetrics(entryVms, loop);
  private final PeerLinks peers;
  private final LeaderHint hint;
  private final WriteLoop writes;
  private final SnapshotEncoder snapshots;
  private final ActionRunner runner;
  private final FrameServer frames;
  private final Server operators;
  private final HealthServer health;

  private ControlDaemon(ControlOptions options, StorageFolder folder) throws IOException {
    RandomGenerator random = new SecureRandom();
    Member member = folder.identity().member();
    peers = new PeerLinks(member, options.members(), codec, random, loop::post);
    hint = new LeaderHint(member.id(), options.operatorAddresses());
    writes = new WriteLoop(folder, loop::post, this::storageFailed);
    ControlMember decisions = decisions(options, folder, random);
    snapshots = new SnapshotEncoder(new MessagePackStateCodec(codec), loop::post, this::loopFailed);
    runner =
        new ActionRunner(
            new ActionTargets(
                writes,
                snapshots,
                peers,
                entryVms,
                new OrderClient(loop::post),
                calls,
                hint,
                metrics),
            () -> decisions.leaseHolds(clock.nowNs()));
    frames = FrameServer.listen(address(options), FrameLimits.standard(), codec, entry(), peer());
    operators =
        NettyServerBuilder.forAddress(options.listenOperators())
            .addService(new OperatorService(options.region(), calls, hint))
            .build()
            .start();
    health = new HealthServer(options.listenMetrics(), runner::knowsLeader, metrics::scrape);
    writes.start();
    peers.connect();
    loop.start(decisions, runner::run, runner::flush, this::loopFailed);
    loop.post(new ControlEvent.Tick());
    logger.info(
        "Member "
            + member.id()
            + " listens on "
            + options.listen()
            + ", for operators on "
            + options.listenOperators()
            + ".");
  }

  /**
   * Starts a member.
   *
   * @throws IOException if the operators' address can't be listened on
   * @throws reactor.netty.ChannelBindException if another address can't be listened on
   */
  static ControlDaemon start(ControlOptions options, StorageFolder folder) throws IOException {
    return new ControlDaemon(options, folder);
  }

  @Override
  public CompletableFuture<ExitCode> ended() {
    return ended;
  }

  /** Hands leadership over first, so that scheduling goes on elsewhere, then ends. */
  @Override
  public void close() {
    loop.post(new ControlEvent.HandOver());
    runner.awaitHandOver();
    operators.shutdown();
    calls.end();
    awaitOperators();
    loop.stop();
    frames.close();
    peers.close();
    snapshots.close();
    writes.close();
    health.close();
    metrics.close();
  }

  private ControlMember decisions(
      ControlOptions options, StorageFolder folder, RandomGenerator random) {
    Member member = folder.identity().member();
    Replica replica =
        new Replica(
            options.group(),
            member.id(),
            ReplicaSettings.defaults(),
            folder.recovered(),
            random,
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
        SpeakerKind.ENTRY_VM, EntryMessage.class, ControlMessage.class, entryVms);
  }

  private FrameEndpoint<?, ?> peer() {
    return peers.endpoint();
  }

  private static SocketAddress address(ControlOptions options) {
    return new SocketAddress(options.listen().getHostString(), options.listen().getPort());
  }

  private void awaitOperators() {
    try {
      operators.awaitTermination(OPERATOR_END_MS, TimeUnit.MILLISECONDS);
    } catch (InterruptedException e) {
      Thread.currentThread().interrupt();
    }
    operators.shutdownNow();
  }

  private void storageFailed(StorageException failure) {
    logger.error("The data folder failed; the member ends.", failure);
    ended.complete(ExitCode.DATA);
  }

  private void loopFailed(Throwable failure) {
    logger.error("The member failed and ends.", failure);
    ended.complete(ExitCode.INTERNAL);
  }
}
