package org.teaseltrail.entry;

import java.net.InetSocketAddress;
import java.util.Optional;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.atomic.AtomicBoolean;
import org.teaseltrail.core.entry.EntryEvent;
import org.teaseltrail.core.entry.EntryNode;
import org.teaseltrail.core.request.FailureReason;
import org.teaseltrail.core.request.Outcome;
import org.teaseltrail.runtime.log.ComponentLogger;
import org.teaseltrail.runtime.process.ExitCode;
import org.teaseltrail.runtime.process.ProgramException;
import org.teaseltrail.runtime.process.RunningProgram;
import org.teaseltrail.runtime.process.StartSequence;
import reactor.netty.DisposableServer;

/** The running daemon of an entry VM: the node, its thread, the HTTP server and the connections. */
final class EntryDaemon implements RunningProgram {

  private static final ComponentLogger LOGGER = new ComponentLogger("entry");

  private final DaemonComponents parts;
  private final long stallTimeoutMs;
  private final DisposableServer server;
  private final AtomicBoolean closing = new AtomicBoolean();
  private final CompletableFuture<ExitCode> ended = new CompletableFuture<>();

  private EntryDaemon(EntryOptions options, DaemonComponents parts, StartSequence start)
      throws ProgramException {
    this.parts = parts;
    this.stallTimeoutMs = options.stallTimeoutMs();
    this.server =
        start.listen(
            options.listen(),
            () -> new EntryHttpServer(options, parts).listen(),
            DisposableServer::disposeNow);
  }

  /**
   * Starts listening and connecting to the control members.
   *
   * @throws ProgramException if the address can't be bound in time, or the start is cancelled
   */
  static EntryDaemon start(EntryOptions options) throws ProgramException {
    NodeEventLoop loop = new NodeEventLoop(new EntryNode(options.node()));
    DaemonComponents parts =
        new DaemonComponents(
            loop,
            new ExchangeRegistry(),
            new UpstreamCallFactory(loop, options.connectTimeoutMs(), options.readTimeoutMs()),
            new ControlConnectionManager(loop),
            new PendingVerdictRegistry(loop),
            new EntryMetrics(),
            new ShutdownCoordinator(),
            new OpenResponseTracker());
    try (StartSequence start = new StartSequence(Optional.empty())) {
      start.onFailure(loop::close);
      start.onFailure(parts.metrics()::close);
      EntryDaemon daemon = new EntryDaemon(options, parts, start);
      daemon.run(options);
      start.complete();
      return daemon;
    }
  }

  private void run(EntryOptions options) {
    parts.loop().setActionExecutor(new ActionExecutor(parts));
    parts.metrics().registerGauges(parts.loop()::status, parts.exchanges()::callCount);
    parts.shutdown().setListenerCloser(() -> server.dispose());
    parts.loop().failure().thenAccept(this::onDecisionsFailed);
    parts.control().open(options.node().vm(), options.members());
    LOGGER.info("Listening on " + address() + ".");
  }

  /** Answers the open requests and lets the process end, so that callers go to other VMs. */
  private void onDecisionsFailed(Throwable failure) {
    LOGGER.error("Unexpected error; the process ends.", failure);
    parts.exchanges().concludeAll(new Outcome.MayHaveRun(FailureReason.STREAM_BROKEN));
    parts.shutdown().closeListener();
    parts.shutdown().markFinished();
    ended.complete(ExitCode.INTERNAL);
  }

  /** Returns the daemon's components. */
  DaemonComponents parts() {
    return parts;
  }

  /** Returns the address on which the daemon serves callers and upstreams. */
  InetSocketAddress address() {
    return (InetSocketAddress) server.address();
  }

  @Override
  public CompletableFuture<ExitCode> terminationFuture() {
    return ended;
  }

  @Override
  public void close() {
    if (!closing.compareAndSet(false, true)) {
      ended.join();
      return;
    }
    parts.loop().submit(new EntryEvent.DrainRequested());
    parts.shutdown().whenFinished().join();
    if (!parts.responses().awaitAllWritten(stallTimeoutMs)) {
      LOGGER.warn(
          "Closing the connections of callers that have not read their complete responses.");
    }
    server.disposeNow();
    parts.control().close();
    parts.loop().close();
    parts.metrics().close();
    ended.complete(ExitCode.OK);
  }
}
