package org.teaseltrail.standin;

import io.netty.channel.group.ChannelGroup;
import io.netty.channel.group.DefaultChannelGroup;
import io.netty.util.concurrent.GlobalEventExecutor;
import java.time.Duration;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.atomic.AtomicReference;
import org.teaseltrail.runtime.log.PartLogger;
import org.teaseltrail.runtime.process.ExitCode;
import org.teaseltrail.runtime.process.RunningProgram;
import reactor.netty.DisposableServer;
import reactor.netty.http.server.HttpServer;

/** Is a running stand-in: its server, its model and its announcements. */
final class StandinDaemon implements RunningProgram {

  /** Time that answers which are made may take to reach their readers at the end. */
  private static final Duration LAST_ANSWERS = Duration.ofSeconds(30);

  private final PartLogger logger = new PartLogger("standin");
  private final StandinOptions options;
  private final StandinBehaviour behaviour;
  private final Announcer announcer;
  private final ChannelGroup connections = new DefaultChannelGroup(GlobalEventExecutor.INSTANCE);
  private final DisposableServer server;
  private final CompletableFuture<ExitCode> ended = new CompletableFuture<>();
  private final AtomicReference<CompletableFuture<Void>> leaving = new AtomicReference<>();

  StandinDaemon(StandinOptions options, StandinBehaviour behaviour) {
    this.options = options;
    this.behaviour = behaviour;
    this.server =
        HttpServer.create()
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
    this.announcer = new Announcer(upstreamId(), options.secret().value(), options.entries());
    behaviour.failed().whenComplete((none, failure) -> ended.completeExceptionally(failure));
    behaviour.start(announcer);
    logger.info("Listens on " + options.listen() + " as " + upstreamId() + ".");
  }

  @Override
  public CompletableFuture<ExitCode> ended() {
    return ended;
  }

  /**
   * Leaves, waits until nothing is in progress, and stops listening. Connections that callers kept
   * open are closed too, as the server leaves some of them open, where a call would still be
   * answered, with status 500, by a stand-in that has ended.
   */
  @Override
  public void close() {
    if (!ended.isCompletedExceptionally()) {
      leave().join();
    }
    server.disposeNow(LAST_ANSWERS);
    connections.close().awaitUninterruptibly();
    behaviour.close();
    announcer.close();
  }

  private CompletableFuture<Void> leave() {
    CompletableFuture<Void> done = new CompletableFuture<>();
    if (!leaving.compareAndSet(null, done)) {
      return leaving.get();
    }
    logger.info("Leaves; finishes what is in progress.");
    behaviour
        .leave(options.leaveGraceMs())
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
