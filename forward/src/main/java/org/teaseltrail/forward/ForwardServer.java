package org.teaseltrail.forward;

import io.netty.buffer.ByteBuf;
import io.netty.buffer.UnpooledByteBufAllocator;
import io.netty.channel.Channel;
import io.netty.channel.EventLoop;
import io.netty.handler.codec.http.FullHttpRequest;
import io.netty.handler.codec.http.HttpResponseStatus;
import io.netty.util.concurrent.Future;
import java.net.InetSocketAddress;
import java.time.Duration;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.OptionalLong;
import java.util.Set;
import java.util.SplittableRandom;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicBoolean;
import java.util.function.Supplier;
import org.teaseltrail.core.forward.AttemptOutcome;
import org.teaseltrail.core.forward.DealtSlotUsage;
import org.teaseltrail.core.forward.DrainSchedule;
import org.teaseltrail.core.forward.ForwardAction;
import org.teaseltrail.core.forward.ForwardNode;
import org.teaseltrail.core.forward.ForwardRequest;
import org.teaseltrail.core.forward.RefusalReason;
import org.teaseltrail.core.id.UpstreamId;
import org.teaseltrail.core.id.VmId;
import org.teaseltrail.core.plan.ClientLimits;
import org.teaseltrail.core.plan.ServingPlan;
import org.teaseltrail.core.quarantine.RequestContent;
import org.teaseltrail.core.registry.UpstreamIncarnation;
import org.teaseltrail.core.relay.ProbeResult;
import org.teaseltrail.core.relay.RelayHop;
import org.teaseltrail.core.relay.RelayOutcome;
import org.teaseltrail.core.serving.ServingReply;
import org.teaseltrail.core.stream.StreamOrigin;
import org.teaseltrail.runtime.clock.SuspendAwareClock;
import org.teaseltrail.runtime.log.EventLog;
import org.teaseltrail.runtime.log.LogEvent;
import org.teaseltrail.runtime.log.LogField;
import org.teaseltrail.runtime.process.ExitCode;
import org.teaseltrail.runtime.process.ProgramException;
import org.teaseltrail.runtime.process.RunningProgram;
import org.teaseltrail.runtime.process.StartSequence;

/**
 * A running entry VM that forwards callers' requests to upstreams. It connects the sockets and
 * timers to a {@link ForwardNode}, which makes the decisions. One event loop owns the node and all
 * connections to callers and upstreams, so that their state is not shared between threads.
 */
public final class ForwardServer implements RunningProgram {

  private static final long NS_PER_MS = 1_000_000L;

  /** Interval between two checks for idle callers. */
  private static final long IDLE_CHECK_MS = 500;

  /**
   * Factor applied to the idle timeout, since callers reuse connections until shortly before the
   * timeout.
   */
  private static final double IDLE_TIMEOUT_FACTOR = 1.1;

  /** Time for the event loop to end its tasks. */
  private static final long LOOP_END_MS = 50;

  /** Shortest time between two timers after the decisions have failed, which may fail each time. */
  private static final long MIN_TICK_AFTER_FAILURE_MS = 50;

  /** When a caller may come back whose request was not run because of an internal error. */
  private static final long FAILED_RETRY_AFTER_MS = 1_000;

  private final ForwardOptions options;
  private final HeaderCodec headerCodec;
  private final EventLog log;
  private final SuspendAwareClock clock = new SuspendAwareClock();
  private final SharedEventLoop sharedLoop = new SharedEventLoop();
  private final EventLoop loop = sharedLoop.loop();
  private final ForwardNode node;
  private final UpstreamConnectionPool<UpstreamIncarnation> pool;
  private final UpstreamConnectionPool<VmId> peerPool;
  private final PathProber prober;
  private final UpstreamSignalHandler signalHandler;
  private final ReadCoalescer readCoalescer;
  private final BodyBudget bodyBudget = new BodyBudget(MemoryShares.requestBodiesBytes());
  private final HeadBudget headBudget = new HeadBudget(MemoryShares.requestHeadsBytes());
  private final AnswerRoom.Budgets answerBudgets =
      new AnswerRoom.Budgets(
          new BodyBudget(MemoryShares.smallAnswersBytes()),
          new BodyBudget(MemoryShares.growingAnswersBytes()),
          new BodyBudget(MemoryShares.answersBytes()));
  private final ControlConnectionManager controlConnections;
  private final ForwardMetrics metrics;
  private final UnexpectedAnswerLogger unexpectedAnswers;
  private final UnexpectedFailures failures;
  private final AdminServer readiness;
  private final Optional<AdminServer> metricsServer;
  private final Channel listener;
  private final Optional<Channel> peerListener;
  private final CompletableFuture<ExitCode> ended = new CompletableFuture<>();
  private final Map<Long, Exchange> exchanges = new HashMap<>();
  private final Map<Long, RequestLogger> requestLoggers = new HashMap<>();
  private final Set<CallerConnection> callers = new HashSet<>();
  private long lastNumber;
  private long wakeupNs = Long.MAX_VALUE;
  private Future<?> wakeup;
  private final AtomicBoolean closing = new AtomicBoolean();
  private final CompletableFuture<Void> closed = new CompletableFuture<>();
  private long giveUpNs = Long.MAX_VALUE;
  private volatile boolean draining;
  private volatile boolean ready;
  private volatile int openRequests;
  private volatile int servicesWithoutPath;
  private volatile long planVersion = -1;
  private volatile DealtSlotUsage dealtSlotUsage = new DealtSlotUsage(0, 0, 0);

  private ForwardServer(
      ForwardOptions options, HeaderCodec dialect, EventLog log, StartSequence start)
      throws ProgramException {
    this.options = options;
    this.headerCodec = dialect;
    this.log = log;
    node = new ForwardNode(options.node());
    pool = new UpstreamConnectionPool<>(sharedLoop, dialect, new UpstreamConnections());
    peerPool = new UpstreamConnectionPool<>(sharedLoop, dialect, new PeerConnections());
    prober = new PathProber(loop, pool, this::onProbeEnded);
    signalHandler = new UpstreamSignalHandler(node.backpressure(), clock, log);
    readCoalescer = new ReadCoalescer(loop, options.maxEventDelayMs());
    controlConnections =
        new ControlConnectionManager(
            sharedLoop.resources(),
            options.node().vm(),
            new SplittableRandom(options.node().seed()),
            reply -> loop.execute(() -> onControlReply(reply)),
            member -> loop.execute(() -> onMemberConnected(member)));
    logFullBudgets();
    metrics = new ForwardMetrics(this, log);
    unexpectedAnswers = new UnexpectedAnswerLogger(log, metrics);
    failures = new UnexpectedFailures(log, metrics, ended);
    start.onFailure(() -> sharedLoop.end(Duration.ofMillis(LOOP_END_MS)));
    start.onFailure(metrics::close);
    start.onFailure(controlConnections::close);
    readiness = listenReadiness(start);
    metricsServer =
        options.listenMetrics().isEmpty()
            ? Optional.empty()
            : Optional.of(listenMetrics(start, options.listenMetrics().get()));
    peerListener =
        options.listenRelay().isEmpty()
            ? Optional.empty()
            : Optional.of(listen(start, options.listenRelay().get(), true));
    listener = listen(start, options.listen(), false);
    loop.execute(() -> decide(node::start));
    loop.scheduleWithFixedDelay(
        this::checkIdle, IDLE_CHECK_MS, IDLE_CHECK_MS, TimeUnit.MILLISECONDS);
  }

  /**
   * Starts a server.
   *
   * @param options the settings
   * @param headerCodec codec for the headers of the external platform
   * @param log log that receives a line for each request
   * @return the running server
   * @throws ProgramException if an address can't be bound in time, or the start is cancelled
   */
  public static ForwardServer start(ForwardOptions options, HeaderCodec headerCodec, EventLog log)
      throws ProgramException {
    try (StartSequence start = new StartSequence(Optional.of(log))) {
      ForwardServer server = new ForwardServer(options, headerCodec, log, start);
      start.complete();
      return server;
    }
  }

  private AdminServer listenReadiness(StartSequence start) throws ProgramException {
    InetSocketAddress address = options.listenReady();
    return start.listen(
        address,
        () ->
            AdminServer.readiness(
                sharedLoop.resources(), address, options.readyPath(), this::acceptsCallers),
        AdminServer::close);
  }

  private AdminServer listenMetrics(StartSequence start, InetSocketAddress address)
      throws ProgramException {
    return start.listen(
        address,
        () -> AdminServer.metrics(sharedLoop.resources(), address, metrics::scrape),
        AdminServer::close);
  }

  private Channel listen(StartSequence start, InetSocketAddress address, boolean isForPeers)
      throws ProgramException {
    return start.listen(
        address,
        () -> CallerListener.bind(this, sharedLoop, address, isForPeers),
        channel -> channel.close().awaitUninterruptibly());
  }

  @Override
  public CompletableFuture<ExitCode> terminationFuture() {
    return ended;
  }

  /**
   * Replaces the seeds, which are contacted if none of the currently known members responds.
   *
   * @param seeds VM ids of control members
   */
  public void seeds(List<VmId> seeds) {
    log.line(LogEvent.SETTINGS_RELOADED).with(LogField.SEEDS, seeds.toString()).write();
    loop.execute(() -> inform(() -> node.seeds(seeds)));
  }

  /**
   * Drains the server and shuts it down: reports it as not ready, completes the open requests, or
   * gives them up with an answer shortly before the kill, waits until the answers have left the
   * process, and closes all listeners. If called again, it returns when the first call has ended.
   */
  @Override
  public void close() {
    close(Duration.ZERO);
  }

  /**
   * Does the same as {@link #close()}.
   *
   * @param sinceSignal time since the termination signal; it counts towards the grace period
   */
  @Override
  public void close(Duration sinceSignal) {
    if (!closing.compareAndSet(false, true)) {
      closed.join();
      return;
    }
    log.line(LogEvent.DRAIN_BEGIN).with(LogField.OPEN, openRequests).write();
    draining = true;
    ready = false;
    long signalNs = System.nanoTime() - sinceSignal.toNanos();
    DrainSchedule schedule = DrainSchedule.of(options.graceMs());
    loop.execute(() -> beginDrain(schedule, signalNs));
    new ShutdownSequence(schedule, signalNs, loop, this::isDrained).awaitEnd();
    log.line(LogEvent.DRAIN_END).with(LogField.OPEN, openRequests).write();
    loop.submit(this::logUnanswered).awaitUninterruptibly(LOOP_END_MS);
    listener.close();
    peerListener.ifPresent(Channel::close);
    controlConnections.close();
    readiness.close();
    metricsServer.ifPresent(AdminServer::close);
    metrics.close();
    sharedLoop.end(Duration.ofMillis(LOOP_END_MS));
    closed.complete(null);
  }

  UpstreamSignalHandler signalHandler() {
    return signalHandler;
  }

  UpstreamConnectionPool<UpstreamIncarnation> pool() {
    return pool;
  }

  UpstreamConnectionPool<VmId> peerPool() {
    return peerPool;
  }

  ReadCoalescer readCoalescer() {
    return readCoalescer;
  }

  HeaderCodec headerCodec() {
    return headerCodec;
  }

  boolean isDraining() {
    return draining;
  }

  int openRequests() {
    return openRequests;
  }

  long planVersion() {
    return planVersion;
  }

  /** Returns the number of services of which this VM reaches no upstream. */
  int servicesWithoutPath() {
    return servicesWithoutPath;
  }

  /** Returns how this VM used its dealt slots when it last heard from a control member. */
  DealtSlotUsage dealtSlotUsage() {
    return dealtSlotUsage;
  }

  boolean isSessionValid() {
    return ready;
  }

  ByteBuf allocateBuffer() {
    return UnpooledByteBufAllocator.DEFAULT.heapBuffer();
  }

  void onCallerConnected(CallerConnection caller) {
    callers.add(caller);
  }

  void onCallerConnectionClosed(CallerConnection caller) {
    callers.remove(caller);
  }

  Exchange createExchange(CallerConnection caller, FullHttpRequest received)
      throws MalformedRequestException {
    lastNumber++;
    Optional<RelayHop> hop =
        caller.isPeer() ? Optional.of(RelayHeaders.takeHop(received.headers())) : Optional.empty();
    RequestContent content = new BufferedRequestContent(received);
    ForwardRequest request = headerCodec.readRequest(lastNumber, received, content);
    return new Exchange(this, caller, request, hop, received);
  }

  void onRequest(Exchange exchange) {
    long number = exchange.request().number();
    long nowNs = clock.nowNs();
    exchanges.put(number, exchange);
    requestLoggers.put(number, new RequestLogger(exchange.request(), exchange.hop(), nowNs));
    openRequests = exchanges.size();
    try {
      run(
          exchange
              .hop()
              .map(hop -> node.onRelayedRequest(exchange.request(), hop, nowNs))
              .orElseGet(() -> node.onRequest(exchange.request(), nowNs)));
    } catch (RuntimeException | Error e) {
      failures.decisionFailed(e);
      // Nothing was dispatched: the decisions that failed were the first about this request.
      end(exchange, e, RefusalReason.NOT_RUN, FAILED_RETRY_AFTER_MS);
    }
  }

  /** Ends a request whose handling failed; it may have run. */
  void onFailed(Exchange exchange, Throwable failure) {
    end(exchange, failure, RefusalReason.BROKEN, 0);
    decide(() -> node.onCallerDisconnected(exchange.request().number(), clock.nowNs()));
  }

  /** Handles an unexpected exception on a connection, which is closed. */
  void onFailed(Throwable failure) {
    failures.taskFailed(failure);
  }

  /** Answers a request after an unexpected exception, unless its answer has been begun or given. */
  private void end(Exchange exchange, Throwable failure, RefusalReason reason, long retryAfterMs) {
    long number = exchange.request().number();
    failures.requestFailed(exchange.request().id(), failure);
    requestLoggers.remove(number);
    boolean isAnswered = exchanges.get(number) != exchange;
    removeExchange(number);
    try {
      exchange.cancel();
      if (isAnswered) {
        exchange.abortCaller();
      } else {
        metrics.refused(reason);
        exchange.refuse(RefusalStatus.of(reason).status(), reason, retryAfterMs);
      }
    } catch (RuntimeException again) {
      failures.requestFailed(exchange.request().id(), again);
      exchange.abortCaller();
    }
  }

  /** Handles the first forwarded events of the current attempt. */
  void onResponseStarted(Exchange exchange) {
    long number = exchange.request().number();
    decide(exchange, () -> node.onResponseStarted(number, clock.nowNs()));
    RequestLogger requestLogger = requestLoggers.get(number);
    if (requestLogger != null && !requestLogger.hasResponseStarted()) {
      long nowNs = clock.nowNs();
      metrics.firstEvent(requestLogger.responseStarted(nowNs));
      requestLogger.actualToExpectedFirstEvent(nowNs).ifPresent(metrics::firstEventToExpected);
    }
  }

  void onAttemptEnded(Exchange exchange, AttemptOutcome end) {
    long number = exchange.request().number();
    metrics.attempt(end);
    RequestLogger requestLogger = requestLoggers.get(number);
    if (requestLogger != null && end != AttemptOutcome.ANSWERED) {
      requestLogger.attemptEnded(log, end, exchange.responseStatus(), clock.nowNs());
    }
    decide(exchange, () -> node.onAttemptEnded(number, end, clock.nowNs()));
  }

  void onRelayOrigin(Exchange exchange, StreamOrigin origin) {
    inform(() -> node.onRelayOrigin(exchange.request().number(), origin));
  }

  void onRelayEnded(Exchange exchange, RelayOutcome outcome) {
    long number = exchange.request().number();
    metrics.relay(outcome);
    RequestLogger requestLogger = requestLoggers.get(number);
    if (requestLogger != null && outcome.needsOtherPeer()) {
      requestLogger.relayFailed(log, outcome, clock.nowNs());
    }
    decide(exchange, () -> node.onRelayEnded(number, outcome, clock.nowNs()));
  }

  void onCallerDisconnected(Exchange exchange) {
    long number = exchange.request().number();
    long nowNs = clock.nowNs();
    decide(() -> node.onCallerDisconnected(number, nowNs));
    RequestLogger requestLogger = requestLoggers.remove(number);
    if (requestLogger != null) {
      requestLogger.callerDisconnected(log, exchange.hasResponseStarted(), nowNs);
    }
    removeExchange(number);
    exchange.release();
  }

  void onLoadReport(UpstreamIncarnation upstream, ResponseHead.ReportedLoad load) {
    long nowNs = clock.nowNs();
    inform(
        () -> {
          node.onLoadReport(upstream.id(), load.running() + load.waiting(), nowNs);
          load.workTimePercent()
              .ifPresent(percent -> node.onWorkTimeReport(upstream, percent, nowNs));
        });
  }

  void recordEventLatency(UpstreamId upstream, double elapsedMs) {
    inform(() -> node.recordEventLatency(upstream, elapsedMs, clock.nowNs()));
  }

  /** Records the mean interval between the events of a stream. */
  void recordEventInterval(Exchange exchange, UpstreamId upstream, double elapsedMs) {
    inform(() -> node.recordEventInterval(exchange.request().number(), elapsedMs));
    recordEventLatency(upstream, elapsedMs);
  }

  /** Records that bytes of a response arrived. */
  void onUpstreamHeard(UpstreamId upstream) {
    inform(() -> node.onUpstreamHeard(upstream));
  }

  private void onProbeEnded(UpstreamId upstream, ProbeResult result) {
    decide(() -> node.onProbeEnded(upstream, result, clock.nowNs()));
  }

  private boolean acceptsCallers() {
    return ready && !draining && !failures.isFatal();
  }

  private void onControlReply(ServingReply reply) {
    if (reply instanceof ServingReply.WaitForecast) {
      metrics.waitForecast();
    }
    decide(() -> node.onControlMessage(reply, clock.nowNs()));
    inform(this::updatePlanVersion);
  }

  private void updatePlanVersion() {
    dealtSlotUsage = node.dealtSlotUsage();
    ServingPlan plan = node.plan().orElse(null);
    if (plan != null && plan.version() != planVersion) {
      planVersion = plan.version();
      log.line(LogEvent.PLAN_IN_FORCE).with(LogField.VERSION, planVersion).write();
    }
  }

  private void onMemberConnected(VmId member) {
    decide(() -> node.onMemberConnected(member, clock.nowNs()));
  }

  /** Lets the node decide on an event, and carries out what it decides. */
  private void decide(Supplier<List<ForwardAction>> step) {
    try {
      run(step.get());
    } catch (RuntimeException | Error e) {
      failures.decisionFailed(e);
    }
  }

  /** Lets the node decide on an event of a request, which is answered also if that fails. */
  private void decide(Exchange exchange, Supplier<List<ForwardAction>> step) {
    try {
      run(step.get());
    } catch (RuntimeException | Error e) {
      failures.decisionFailed(e);
      end(exchange, e, RefusalReason.BROKEN, 0);
    }
  }

  /** Tells the node of something on which it doesn't decide at once. */
  private void inform(Runnable step) {
    try {
      step.run();
    } catch (RuntimeException | Error e) {
      failures.decisionFailed(e);
    }
  }

  private void run(List<ForwardAction> actions) {
    actions.forEach(this::executeOrEnd);
    inform(this::updateReadiness);
    inform(this::scheduleWakeup);
  }

  /** Carries out an action; if that fails, the others still are, which are about other requests. */
  private void executeOrEnd(ForwardAction action) {
    Optional<Exchange> exchange = exchangeOf(action);
    try {
      execute(action);
    } catch (RuntimeException | Error e) {
      exchange.ifPresentOrElse(each -> onFailed(each, e), () -> failures.taskFailed(e));
    }
  }

  private Optional<Exchange> exchangeOf(ForwardAction action) {
    OptionalLong number = action.requestNumber();
    return number.isPresent()
        ? Optional.ofNullable(exchanges.get(number.getAsLong()))
        : Optional.empty();
  }

  private void execute(ForwardAction action) {
    if (action instanceof ForwardAction.SendControl send) {
      controlConnections.send(send.member(), send.message());
    } else if (action instanceof ForwardAction.ConnectToMembers keep) {
      controlConnections.setMembers(keep.members());
    } else if (action instanceof ForwardAction.Dispatch dispatch) {
      requestLoggers.get(dispatch.request()).dispatched(dispatch, clock.nowNs());
      exchanges.get(dispatch.request()).dispatch(dispatch);
    } else if (action instanceof ForwardAction.Relay relay) {
      requestLoggers.get(relay.request()).relayed(relay, clock.nowNs());
      exchanges.get(relay.request()).relay(relay);
    } else if (action instanceof ForwardAction.Cancel cancel) {
      Optional.ofNullable(exchanges.get(cancel.request())).ifPresent(Exchange::cancel);
    } else if (action instanceof ForwardAction.Deliver deliver) {
      deliver(deliver);
    } else if (action instanceof ForwardAction.Refuse refuse) {
      refuse(refuse);
    } else if (action instanceof ForwardAction.Probe probe) {
      prober.probe(probe);
    } else if (action instanceof ForwardAction.PathChanged change) {
      changePath(change);
    } else if (action instanceof ForwardAction.StopAccepting) {
      List.copyOf(callers).forEach(CallerConnection::stopAccepting);
    }
  }

  private void changePath(ForwardAction.PathChanged change) {
    servicesWithoutPath = node.servicesWithoutPath().size();
    log.line(change.lost() ? LogEvent.PATH_LOST : LogEvent.PATH_REGAINED)
        .with(LogField.SERVICE, change.service().value())
        .write();
    if (change.lost()) {
      change.upstreams().forEach(pool::closeIdle);
    }
  }

  private void deliver(ForwardAction.Deliver deliver) {
    Exchange exchange = exchanges.get(deliver.request());
    RequestLogger requestLogger = requestLoggers.remove(deliver.request());
    long nowNs = clock.nowNs();
    metrics.delivered(requestLogger.elapsedNs(nowNs));
    requestLogger.delivered(log, exchange.responseStatus(), exchange.maxEventGapMs(), nowNs);
    removeExchange(deliver.request());
    exchange.deliver();
  }

  private void refuse(ForwardAction.Refuse refuse) {
    metrics.refused(refuse.refusalReason());
    HttpResponseStatus status = RefusalStatus.of(refuse.refusalReason()).status();
    Exchange exchange = exchanges.get(refuse.request());
    requestLoggers
        .remove(refuse.request())
        .refused(log, refuse, status.code(), exchange.hasResponseStarted(), clock.nowNs());
    removeExchange(refuse.request());
    exchange.refuse(status, refuse.refusalReason(), refuse.retryAfterMs());
  }

  private void removeExchange(long number) {
    exchanges.remove(number);
    openRequests = exchanges.size();
  }

  private void updateReadiness() {
    boolean now = node.isReady(clock.nowNs());
    if (now != ready && !draining) {
      ready = now;
      log.line(now ? LogEvent.SESSION_GAINED : LogEvent.SESSION_LOST)
          .with(LogField.PLAN_VERSION, planVersion)
          .write();
    }
  }

  private void scheduleWakeup() {
    long nextNs = node.nextWakeupNs();
    if (wakeup != null && !wakeup.isDone() && wakeupNs <= nextNs) {
      return;
    }
    if (wakeup != null) {
      wakeup.cancel(false);
    }
    wakeupNs = nextNs;
    long minDelayNs = failures.isFatal() ? MIN_TICK_AFTER_FAILURE_MS * NS_PER_MS : 0;
    long delayNs = Math.max(minDelayNs, nextNs - clock.nowNs());
    wakeup = loop.schedule(this::tick, delayNs, TimeUnit.NANOSECONDS);
  }

  private void tick() {
    wakeup = null;
    decide(() -> node.tick(clock.nowNs()));
  }

  /** Closes callers' connections that are idle for too long; a failure doesn't end the checks. */
  private void checkIdle() {
    try {
      closeIdleCallers();
    } catch (RuntimeException | Error e) {
      failures.taskFailed(e);
    }
  }

  private void closeIdleCallers() {
    ClientLimits limits = limits();
    long idleNs = (long) (limits.idleTimeoutMs() * IDLE_TIMEOUT_FACTOR * NS_PER_MS);
    long headerNs = limits.headerTimeoutMs() * NS_PER_MS;
    long nowNs = System.nanoTime();
    List.copyOf(callers).forEach(caller -> caller.checkIdle(nowNs, idleNs, headerNs));
  }

  private void beginDrain(DrainSchedule schedule, long signalNs) {
    long nowNs = clock.nowNs();
    giveUpNs = nowNs + schedule.giveUpMs() * NS_PER_MS - (System.nanoTime() - signalNs);
    decide(() -> node.beginDrain(schedule, nowNs - (System.nanoTime() - signalNs), nowNs));
  }

  /**
   * Does what is due, which may be late after a standstill, and returns whether nothing is left.
   */
  private boolean isDrained() {
    decide(() -> node.tick(clock.nowNs()));
    if (failures.isFatal() && clock.nowNs() >= giveUpNs) {
      List.copyOf(exchanges.values()).forEach(this::giveUpAfterFailure);
    }
    return exchanges.isEmpty() && callers.stream().noneMatch(CallerConnection::hasUnsent);
  }

  /** Answers a request that decisions which have failed may never end; it may have run. */
  private void giveUpAfterFailure(Exchange exchange) {
    end(
        exchange,
        new IllegalStateException("the decisions have failed before"),
        RefusalReason.BROKEN,
        0);
  }

  /** Logs the requests that end with the process and without an answer. */
  private void logUnanswered() {
    long nowNs = clock.nowNs();
    requestLoggers.values().forEach(requestLogger -> requestLogger.unanswered(log, nowNs));
  }

  /** Counts a request whose body found no room. */
  void onBodyRefused() {
    metrics.bodyRefused();
  }

  private void logFullBudgets() {
    logFull(FullBudgetLogger.Budget.REQUEST_BODIES, bodyBudget);
    logFull(FullBudgetLogger.Budget.SMALL_ANSWERS, answerBudgets.small());
    logFull(FullBudgetLogger.Budget.SMALL_ANSWERS, answerBudgets.growing());
    logFull(FullBudgetLogger.Budget.ANSWERS, answerBudgets.large());
    headBudget.setOnFull(
        new FullBudgetLogger(log, FullBudgetLogger.Budget.REQUEST_HEADS, headBudget::usedBytes));
  }

  private void logFull(FullBudgetLogger.Budget budget, BodyBudget bodies) {
    bodies.setOnFull(new FullBudgetLogger(log, budget, bodies::usedBytes));
  }

  /** Counts a request whose head found no room. */
  void onHeadRefused() {
    metrics.headRefused();
  }

  HeadBudget headBudget() {
    return headBudget;
  }

  AnswerRoom.Budgets answerBudgets() {
    return answerBudgets;
  }

  BodyBudget bodyBudget() {
    return bodyBudget;
  }

  /** Returns the current limits of callers' connections. */
  ClientLimits limits() {
    return node.plan().map(ServingPlan::limits).orElse(ClientLimits.DEFAULT);
  }

  /** Passes on what happens to the connections to upstreams. */
  private final class UpstreamConnections
      implements UpstreamConnectionListener<UpstreamIncarnation> {

    @Override
    public void onOpened(UpstreamIncarnation upstream) {
      inform(() -> node.onUpstreamConnected(upstream.id(), clock.nowNs()));
    }

    @Override
    public void onLost(UpstreamIncarnation upstream) {
      decide(() -> node.onUpstreamConnectionLost(upstream.id(), clock.nowNs()));
    }

    @Override
    public void onUnexpectedAnswer(UpstreamIncarnation upstream, UnexpectedAnswer answer) {
      unexpectedAnswers.record(LogField.UPSTREAM, upstream.id().value(), answer);
    }

    @Override
    public void onFailed(Throwable failure) {
      ForwardServer.this.onFailed(failure);
    }
  }

  /** Passes on what happens to the connections to peers. */
  private final class PeerConnections implements UpstreamConnectionListener<VmId> {

    @Override
    public void onUnexpectedAnswer(VmId peer, UnexpectedAnswer answer) {
      unexpectedAnswers.record(LogField.PEER, peer.value(), answer);
    }

    @Override
    public void onFailed(Throwable failure) {
      ForwardServer.this.onFailed(failure);
    }
  }
}
