package org.teaseltrail.forward;

import io.netty.buffer.ByteBuf;
import io.netty.buffer.UnpooledByteBufAllocator;
import io.netty.channel.Channel;
import io.netty.channel.EventLoop;
import io.netty.handler.codec.http.FullHttpRequest;
import io.netty.handler.codec.http.HttpResponseStatus;
import io.netty.util.concurrent.Future;
import java.time.Duration;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import java.util.SplittableRandom;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.TimeUnit;
import org.teaseltrail.core.forward.AttemptOutcome;
import org.teaseltrail.core.forward.ForwardAction;
import org.teaseltrail.core.forward.ForwardNode;
import org.teaseltrail.core.id.UpstreamId;
import org.teaseltrail.core.id.VmId;
import org.teaseltrail.core.plan.ClientLimits;
import org.teaseltrail.core.plan.ServingPlan;
import org.teaseltrail.core.quarantine.RequestContent;
import org.teaseltrail.core.serving.ServingReply;
import org.teaseltrail.runtime.clock.SuspendAwareClock;
import org.teaseltrail.runtime.log.EventLog;
import org.teaseltrail.runtime.log.LogEvent;
import org.teaseltrail.runtime.log.LogField;
import org.teaseltrail.runtime.process.ExitCode;
import org.teaseltrail.runtime.process.RunningProgram;

/**
 * Is a running entry VM that forwards requests. One event loop owns its decisions and all of its
 * connections to callers and upstreams, so that nothing of them is shared between threads.
 */
public final class ForwardServer implements RunningProgram {

  private static final long NS_PER_MS = 1_000_000L;

  /** Time between two looks for idle callers. */
  private static final long IDLE_CHECK_MS = 500;

  /** Part of the idle limit that is added: callers use connections up to near the limit. */
  private static final double IDLE_MARGIN = 1.1;

  /**
   * Least time between the signal to end and the end. The platform asks for readiness once a second
   * and sends callers on until the second refusal.
   */
  private static final long LEAST_DRAIN_MS = 3_200;

  /**
   * Time after the signal from which on no request is taken and idle callers' connections are
   * ended. By then the platform sends nobody any longer, and the grace still has room for an
   * answer.
   */
  private static final long TAKE_NONE_AFTER_MS = 2_500;

  /** Time before the kill by which the process ends. */
  private static final long END_BEFORE_KILL_MS = 400;

  private static final long DRAIN_POLL_MS = 50;

  private final ForwardOptions options;
  private final HeaderDialect dialect;
  private final EventLog log;
  private final SuspendAwareClock clock = new SuspendAwareClock();
  private final SharedEventLoop sharedLoop = new SharedEventLoop();
  private final EventLoop loop = sharedLoop.loop();
  private final ForwardNode node;
  private final UpstreamPool pool;
  private final SignalListener signals;
  private final EventHold eventHold;
  private final ControlLinks links;
  private final ForwardMetrics metrics;
  private final SideServer readiness;
  private final Optional<SideServer> metricsServer;
  private final Channel listener;
  private final CompletableFuture<ExitCode> ended = new CompletableFuture<>();
  private final Map<Long, Exchange> exchanges = new HashMap<>();
  private final Map<Long, RequestStory> stories = new HashMap<>();
  private final Set<CallerConnection> callers = new HashSet<>();
  private long lastNumber;
  private long wakeupNs = Long.MAX_VALUE;
  private Future<?> wakeup;
  private volatile boolean draining;
  private volatile boolean ready;
  private volatile int open;
  private volatile long planVersion = -1;

  private ForwardServer(ForwardOptions options, HeaderDialect dialect, EventLog log)
      throws InterruptedException {
    this.options = options;
    this.dialect = dialect;
    this.log = log;
    node = new ForwardNode(options.node());
    pool = new UpstreamPool(sharedLoop, dialect);
    signals = new SignalListener(node.backpressure(), clock, log);
    eventHold = new EventHold(loop, options.eventHoldMs());
    links =
        new ControlLinks(
            sharedLoop.resources(),
            options.node().vm(),
            new SplittableRandom(options.node().seed()),
            reply -> loop.execute(() -> fromControl(reply)));
    metrics = new ForwardMetrics(this, log);
    readiness =
        SideServer.readiness(
            sharedLoop.resources(),
            options.listenReady(),
            options.readyPath(),
            this::acceptsCallers);
    metricsServer =
        options
            .listenMetrics()
            .map(address -> SideServer.metrics(sharedLoop.resources(), address, metrics::scrape));
    listener = CallerListener.bind(this, sharedLoop, options.listen());
    loop.execute(() -> run(node.start()));
    loop.scheduleWithFixedDelay(
        this::checkIdle, IDLE_CHECK_MS, IDLE_CHECK_MS, TimeUnit.MILLISECONDS);
  }

  /**
   * Starts to serve.
   *
   * @param options the settings
   * @param dialect translates headers
   * @param log takes a line for each request
   * @return the running server
   * @throws InterruptedException if the thread is interrupted while it waits for the port
   */
  public static ForwardServer start(ForwardOptions options, HeaderDialect dialect, EventLog log)
      throws InterruptedException {
    return new ForwardServer(options, dialect, log);
  }

  @Override
  public CompletableFuture<ExitCode> ended() {
    return ended;
  }

  /**
   * Takes other seeds, to be asked once the members known now don't answer.
   *
   * @param seeds control members' VMs
   */
  public void seeds(List<VmId> seeds) {
    log.line(LogEvent.SETTINGS_RELOADED).with(LogField.SEEDS, seeds.toString()).write();
    loop.execute(() -> node.seeds(seeds));
  }

  /** Tells the platform to send no more callers, answers those that are here, and ends. */
  @Override
  public void close() {
    log.line(LogEvent.DRAIN_BEGIN).with(LogField.OPEN, open).write();
    draining = true;
    ready = false;
    long beganNs = System.nanoTime();
    long endNs = beganNs + (options.graceMs() - END_BEFORE_KILL_MS) * NS_PER_MS;
    boolean takesNone = false;
    while (System.nanoTime() < endNs) {
      long passedMs = (System.nanoTime() - beganNs) / NS_PER_MS;
      if (!takesNone && passedMs > TAKE_NONE_AFTER_MS) {
        loop.execute(this::takeNone);
        takesNone = true;
      }
      if (passedMs > LEAST_DRAIN_MS && open == 0) {
        break;
      }
      pause();
    }
    log.line(LogEvent.DRAIN_END).with(LogField.OPEN, open).write();
    listener.close();
    links.close();
    readiness.close();
    metricsServer.ifPresent(SideServer::close);
    metrics.close();
    sharedLoop.end(Duration.ofMillis(DRAIN_POLL_MS));
  }

  SignalListener signals() {
    return signals;
  }

  UpstreamPool pool() {
    return pool;
  }

  EventHold eventHold() {
    return eventHold;
  }

  HeaderDialect dialect() {
    return dialect;
  }

  boolean isDraining() {
    return draining;
  }

  int open() {
    return open;
  }

  long planVersion() {
    return planVersion;
  }

  boolean isSessionValid() {
    return ready;
  }

  ByteBuf allocate() {
    return UnpooledByteBufAllocator.DEFAULT.heapBuffer();
  }

  void opened(CallerConnection caller) {
    callers.add(caller);
  }

  void closed(CallerConnection caller) {
    callers.remove(caller);
  }

  Exchange exchange(CallerConnection caller, FullHttpRequest received)
      throws MalformedRequestException {
    lastNumber++;
    RequestContent content = new ReceivedContent(received);
    return new Exchange(this, caller, dialect.readRequest(lastNumber, received, content), received);
  }

  void arrived(Exchange exchange) {
    long number = exchange.request().number();
    long nowNs = clock.nowNs();
    exchanges.put(number, exchange);
    stories.put(number, new RequestStory(exchange.request(), nowNs));
    open = exchanges.size();
    run(node.onRequest(exchange.request(), nowNs));
  }

  /** Takes the first part of a stream from the upstream that now has the request. */
  void begun(Exchange exchange) {
    long number = exchange.request().number();
    run(node.onResponseStarted(number, clock.nowNs()));
    RequestStory story = stories.get(number);
    if (story != null && !story.hasBegun()) {
      metrics.firstEvent(story.begun(clock.nowNs()));
    }
  }

  void attemptEnded(Exchange exchange, AttemptOutcome end) {
    long number = exchange.request().number();
    metrics.attempt(end);
    RequestStory story = stories.get(number);
    if (story != null && end != AttemptOutcome.ANSWERED) {
      story.attemptEnded(log, end, exchange.answerStatus(), clock.nowNs());
    }
    run(node.onAttemptEnded(number, end, clock.nowNs()));
  }

  void callerLeft(Exchange exchange) {
    long number = exchange.request().number();
    long nowNs = clock.nowNs();
    run(node.onCallerDisconnected(number, nowNs));
    RequestStory story = stories.remove(number);
    if (story != null) {
      story.callerLeft(log, exchange.hasBegun(), nowNs);
    }
    forget(number);
    exchange.release();
  }

  void told(UpstreamId upstream, AnswerHead.ToldLoad load) {
    node.onLoadReport(upstream, load.running() + load.waiting(), clock.nowNs());
  }

  void pace(UpstreamId upstream, double elapsedMs) {
    node.recordEventLatency(upstream, elapsedMs, clock.nowNs());
  }

  /** Takes the mean time between the events of a stream. */
  void streamPace(Exchange exchange, UpstreamId upstream, double elapsedMs) {
    node.recordEventInterval(exchange.request().number(), elapsedMs);
    pace(upstream, elapsedMs);
  }

  private boolean acceptsCallers() {
    return ready && !draining;
  }

  private void fromControl(ServingReply reply) {
    run(node.onControlMessage(reply, clock.nowNs()));
    ServingPlan plan = node.plan().orElse(null);
    if (plan != null && plan.version() != planVersion) {
      planVersion = plan.version();
      log.line(LogEvent.PLAN_IN_FORCE).with(LogField.VERSION, planVersion).write();
    }
  }

  private void run(List<ForwardAction> actions) {
    actions.forEach(this::carryOut);
    noteReadiness();
    wakeLater();
  }

  private void carryOut(ForwardAction action) {
    if (action instanceof ForwardAction.SendControl send) {
      links.send(send.member(), send.message());
    } else if (action instanceof ForwardAction.ConnectToMembers keep) {
      links.keep(keep.members());
    } else if (action instanceof ForwardAction.Dispatch dispatch) {
      stories.get(dispatch.request()).dispatched(dispatch, clock.nowNs());
      exchanges.get(dispatch.request()).dispatch(dispatch);
    } else if (action instanceof ForwardAction.Cancel cancel) {
      Optional.ofNullable(exchanges.get(cancel.request())).ifPresent(Exchange::cancel);
    } else if (action instanceof ForwardAction.Deliver deliver) {
      deliver(deliver);
    } else if (action instanceof ForwardAction.Refuse refuse) {
      refuse(refuse);
    }
  }

  private void deliver(ForwardAction.Deliver deliver) {
    Exchange exchange = exchanges.get(deliver.request());
    RequestStory story = stories.remove(deliver.request());
    long nowNs = clock.nowNs();
    metrics.delivered(story.elapsedNs(nowNs));
    story.delivered(log, exchange.answerStatus(), exchange.longestPauseMs(), nowNs);
    forget(deliver.request());
    exchange.deliver();
  }

  private void refuse(ForwardAction.Refuse refuse) {
    metrics.refused(refuse.refusalReason());
    HttpResponseStatus status = RefusalStatus.of(refuse.refusalReason()).status();
    stories.remove(refuse.request()).refused(log, refuse, status.code(), clock.nowNs());
    Exchange exchange = exchanges.get(refuse.request());
    forget(refuse.request());
    exchange.refuse(status, refuse.refusalReason().name(), refuse.retryAfterMs());
  }

  private void forget(long number) {
    exchanges.remove(number);
    open = exchanges.size();
  }

  private void noteReadiness() {
    boolean now = node.isReady(clock.nowNs());
    if (now != ready && !draining) {
      ready = now;
      log.line(now ? LogEvent.SESSION_GAINED : LogEvent.SESSION_LOST)
          .with(LogField.PLAN_VERSION, planVersion)
          .write();
    }
  }

  private void wakeLater() {
    long nextNs = node.nextWakeupNs();
    if (wakeup != null && !wakeup.isDone() && wakeupNs <= nextNs) {
      return;
    }
    if (wakeup != null) {
      wakeup.cancel(false);
    }
    wakeupNs = nextNs;
    long delayNs = Math.max(0, nextNs - clock.nowNs());
    wakeup = loop.schedule(this::tick, delayNs, TimeUnit.NANOSECONDS);
  }

  private void tick() {
    wakeup = null;
    run(node.tick(clock.nowNs()));
  }

  private void checkIdle() {
    ClientLimits limits = limits();
    long idleNs = (long) (limits.idleTimeoutMs() * IDLE_MARGIN * NS_PER_MS);
    long headerNs = limits.headerTimeoutMs() * NS_PER_MS;
    long nowNs = System.nanoTime();
    List.copyOf(callers).forEach(caller -> caller.checkIdle(nowNs, idleNs, headerNs));
  }

  private void takeNone() {
    node.end();
    List.copyOf(callers).stream().filter(CallerConnection::isIdle).forEach(CallerConnection::close);
  }

  /** Returns the bounds of callers' connections that hold now. */
  ClientLimits limits() {
    return node.plan().map(ServingPlan::limits).orElse(ClientLimits.DEFAULT);
  }

  private static void pause() {
    try {
      TimeUnit.MILLISECONDS.sleep(DRAIN_POLL_MS);
    } catch (InterruptedException e) {
      Thread.currentThread().interrupt();
    }
  }
}
