package org.teaseltrail.standin;

import io.netty.channel.group.ChannelGroup;
import io.netty.channel.group.DefaultChannelGroup;
import io.netty.util.concurrent.GlobalEventExecutor;
import java.time.Duration;
import java.util.Optional;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.atomic.AtomicReference;
import org.teaseltrail.runtime.log.ComponentLogger;
import org.teaseltrail.runtime.process.ExitCode;
import org.teaseltrail.runtime.process.ProgramException;
import org.teaseltrail.runtime.process.RunningProgram;
import org.teaseltrail.runtime.process.StartSequence;
import reactor.netty.DisposableServer;
import reactor.netty.http.server.HttpServer;

/** Running daemon of the simulated upstream: HTTP server, model and announcements. */
final class StandinDaemon implements RunningProgram {

  /** Maximum time at shutdown for sending responses that are already generated. */
  private static final Duration SHUTDOWN_TIMEOUT = Duration.ofSeconds(30);

  private final ComponentLogger logger = new ComponentLogger("standin");
  private final StandinOptions options;
  private final SimulatedUpstream behaviour;
  private final Announcer announcer;
  private final ChannelGroup connections = new DefaultChannelGroup(GlobalEventExecutor.INSTANCE);
  private final DisposableServer server;
  private final CompletableFuture<ExitCode> ended = new CompletableFuture<>();
  private final AtomicReference<CompletableFuture<Void>> leaving = new AtomicReference<>();

  StandinDaemon(StandinOptions options, SimulatedUpstream behaviour) throws ProgramException {
    this.options = options;
    this.behaviour = behaviour;
    try (StartSequence start = new StartSequence(Optional.empty())) {
      start.onFailure(behaviour::close);
      this.server = start.listen(options.listen(), this::listen, DisposableServer::disposeNow);
      start.complete();
    }
    this.announcer = new Announcer(upstreamId(), options.secret().value(), options.entries());
    behaviour.failed().whenComplete((none, failure) -> ended.completeExceptionally(failure));
    behaviour.start(announcer);
    logger.info("Listening on " + options.listen() + " as upstream " + upstreamId() + ".");
  }

  private DisposableServer listen() {
    return HttpServer.create()
        .bindAddress(options::listen)
        .channelGroup(connections)
        .route(
            routes -> {
              if (options.admin()) {
                new AdminRoutes(behaviour, this::leave).addTo(routes);
              }
              behaviour.addRoutes(routes);
            })
        .bindNow();
  }

  @Override
  public CompletableFuture<ExitCode> terminationFuture() {
    return ended;
  }

  /**
   * Drains the upstream, waits until no request is in flight, and stops listening. Connections that
   * callers keep open are closed too: the server leaves some of them open, and calls on these would
   * still be answered, with status 500, after the end of the daemon.
   */
  @Override
  public void close() {
    if (!ended.isCompletedExceptionally()) {
      leave().join();
    }
    server.disposeNow(SHUTDOWN_TIMEOUT);
    connections.close().awaitUninterruptibly();
    behaviour.close();
    announcer.close();
  }

  private CompletableFuture<Void> leave() {
    CompletableFuture<Void> done = new CompletableFuture<>();
    if (!leaving.compareAndSet(null, done)) {
      return leaving.get();
    }
    logger.info("Draining; requests in flight are completed.");
    behaviour
        .startDraining(options.leaveGraceMs())
        .thenRun(
            () -> {
              done.complete(null);
              ended.complete(ExitCode.OK);
            });
    return done;
  }

  private String upstreamId() {
    return options
        .engine()
        .map(engine -> engine.identity().upstream())
        .or(() -> options.service().map(service -> service.identity().upstream()))
        .orElseThrow()
        .value();
  }
}
