package org.teaseltrail.standin.model;

import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.OptionalLong;
import org.teaseltrail.core.id.Incarnation;
import org.teaseltrail.core.id.RequestId;
import org.teaseltrail.core.upstream.LoadReport;
import org.teaseltrail.core.upstream.UpstreamPhase;

/**
 * Deterministic model of an inference engine with continuous batching and a prefix cache of limited
 * size. Requests have no priorities and are admitted in the order of arrival. It has no clock,
 * thread or socket; equal events at equal times produce equal actions.
 *
 * <p>Example: pass {@link EngineEvent.Submit} to {@link #handle}, then a {@link EngineEvent.Tick}
 * at each {@link #nextWakeupNs}, and collect the {@link EngineAction.Frame} actions.
 */
public final class EngineModel implements UpstreamModel<EngineEvent, EngineAction> {

  private static final double STEP_SMOOTHING = 0.2;
  private static final double NS_PER_MS = 1e6;

  private final EngineSettings settings;
  private final PrefixCache cache;
  private final BatchScheduler batch;
  private final StreamStore streams;
  private final OrderHandler orders;
  private final EngineReporter reporter;
  private final WorkTracker ledger = new WorkTracker();
  private UpstreamPhase phase = UpstreamPhase.SERVING;
  private double stragglerFactor;
  private double meanStepMs;
  private Step step;
  private boolean up = true;
  private boolean drainedReported;
  private long nowNs;

  /**
   * Creates an engine that is up and idle.
   *
   * @param settings its settings
   * @param startNs current monotonic time, in nanoseconds
   */
  public EngineModel(EngineSettings settings, long startNs) {
    this.settings = settings;
    this.cache = new PrefixCache(settings.hardware().cacheBlocks());
    this.batch = new BatchScheduler(settings.hardware());
    this.streams = new StreamStore(settings.resumeRetentionMs(), settings.tokensPerFrame());
    this.orders = new OrderHandler(settings);
    this.reporter = new EngineReporter(settings, startNs);
    this.stragglerFactor = settings.stragglerFactor();
    this.meanStepMs = settings.hardware().stepBaseMs() * stragglerFactor;
    this.nowNs = startNs;
  }

  /**
   * Processes an event. Steps that end by {@code atNs} are completed first, each at its own end
   * time.
   */
  @Override
  public List<EngineAction> handle(EngineEvent event, long atNs) {
    EngineInvariant.TIME_GROWS.check(atNs >= nowNs);
    nowNs = atNs;
    List<EngineAction> actions = new ArrayList<>();
    if (!up) {
      handleDown(event, actions);
    } else {
      runSteps(actions);
      handleUp(event, actions);
    }
    if (up) {
      completeEvent(actions);
    }
    return actions;
  }

  @Override
  public OptionalLong nextWakeupNs() {
    if (!up) {
      return OptionalLong.empty();
    }
    long stepNs = step == null ? Long.MAX_VALUE : step.endNs();
    long loadedNs = orders.modelRegistry().nextLoadEndNs().orElse(Long.MAX_VALUE);
    long reportNs = reporter.nextWakeupNs(cache);
    return OptionalLong.of(Math.min(reportNs, Math.min(stepNs, loadedNs)));
  }

  @Override
  public boolean isIdle() {
    return batch.isEmpty();
  }

  /**
   * Returns a frame of a stream, so that each reader can read at its own rate.
   *
   * @param request the request
   * @param sequence number of the frame
   * @return the frame, or empty if it isn't generated yet or the stream is unknown
   */
  public Optional<EngineFrame> frame(RequestId request, int sequence) {
    return streams.find(request).flatMap(stream -> stream.frameAt(sequence));
  }

  /**
   * Returns the request that a stream answers.
   *
   * @param request the request's id
   * @return the request, or empty if the stream is unknown
   */
  public Optional<EngineRequest> request(RequestId request) {
    return streams.find(request).map(EngineStream::request);
  }

  /**
   * Returns the counters over all requests.
   *
   * @return the counters
   */
  public EngineCounters counters() {
    return ledger.counters();
  }

  /**
   * Returns the work done for each of the most recent requests.
   *
   * @return the work by request
   */
  public Map<RequestId, RequestWork> workByRequest() {
    return ledger.byRequest();
  }

  private void handleDown(EngineEvent event, List<EngineAction> actions) {
    if (event instanceof EngineEvent.Restart restart) {
      restart(restart.incarnation());
    } else if (event instanceof EngineEvent.Submit submit) {
      actions.add(new EngineAction.Unreachable(submit.request().id()));
    } else if (event instanceof EngineEvent.Resume resume) {
      actions.add(new EngineAction.Unreachable(resume.request()));
    }
  }

  private void handleUp(EngineEvent event, List<EngineAction> actions) {
    if (event instanceof EngineEvent.Submit submit) {
      submit(submit.request(), actions);
    } else if (event instanceof EngineEvent.Resume resume) {
      resume(resume, actions);
    } else if (event instanceof EngineEvent.Cancel cancel) {
      cancel(cancel.request(), actions);
    } else if (event instanceof EngineEvent.Order order) {
      order(order, actions);
    } else if (event instanceof EngineEvent.ExportKv export) {
      exportKv(export.request(), actions);
    } else if (event instanceof EngineEvent.ImportKv kv) {
      importKv(kv.cache());
    } else {
      handleStateChange(event, actions);
    }
  }

  private void handleStateChange(EngineEvent event, List<EngineAction> actions) {
    if (event instanceof EngineEvent.SetStragglerFactor straggle) {
      stragglerFactor = straggle.factor();
    } else if (event instanceof EngineEvent.Drain) {
      phase = UpstreamPhase.LEAVING;
      reporter.announceNow(nowNs);
    } else if (event instanceof EngineEvent.Crash) {
      crash(actions);
    }
  }

  private void submit(EngineRequest request, List<EngineAction> actions) {
    ledger.submitted(request.id());
    Optional<EngineRefusal> refusal = refusalOf(request);
    if (refusal.isPresent()) {
      ledger.refused(refusal.get());
      actions.add(new EngineAction.Refuse(request.id(), refusal.get()));
      return;
    }
    ledger.started(request.id());
    streams.open(request);
    int tokens = settings.answerLength().tokens(request.answerSeed(), request.maxTokens());
    batch.add(new Sequence(request, tokens));
    actions.add(new EngineAction.Accept(request.id()));
  }

  private Optional<EngineRefusal> refusalOf(EngineRequest request) {
    if (streams.find(request.id()).isPresent()) {
      return Optional.of(EngineRefusal.DUPLICATE_REQUEST);
    }
    if (phase == UpstreamPhase.LEAVING) {
      return Optional.of(EngineRefusal.LEAVING);
    }
    if (!orders.modelRegistry().serves(request.target())) {
      return Optional.of(EngineRefusal.MODEL_NOT_LOADED);
    }
    if (batch.queuedCount() >= settings.maxQueuedRequests()) {
      return Optional.of(EngineRefusal.QUEUE_FULL);
    }
    return Optional.empty();
  }

  private void resume(EngineEvent.Resume resume, List<EngineAction> actions) {
    Optional<EngineStream> stream = streams.find(resume.request());
    if (stream.isEmpty()) {
      actions.add(new EngineAction.StreamUnknown(resume.request()));
      return;
    }
    stream
        .get()
        .from(resume.fromSequence())
        .forEach(frame -> actions.add(new EngineAction.Frame(frame)));
  }

  private void cancel(RequestId request, List<EngineAction> actions) {
    Optional<Sequence> found = batch.find(request);
    if (found.isPresent()) {
      found.get().cancel();
      batch.remove(found.get());
      abort(found.get(), WorkState.CANCELLED, actions);
    }
  }

  private void order(EngineEvent.Order order, List<EngineAction> actions) {
    EngineAction answer = orders.handle(order, nowNs);
    if (answer instanceof EngineAction.OrderAccepted) {
      reporter.announceNow(nowNs);
    }
    actions.add(answer);
  }

  private void exportKv(RequestId request, List<EngineAction> actions) {
    Optional<EngineStream> stream = streams.find(request);
    if (stream.isEmpty()) {
      actions.add(new EngineAction.StreamUnknown(request));
      return;
    }
    List<Long> chain = stream.get().request().prefixBlocks();
    KvCache exported = new KvCache(request, chain.subList(0, cache.match(chain)));
    actions.add(new EngineAction.KvExported(exported));
  }

  private void importKv(KvCache imported) {
    cache.store(imported.blocks(), 0, imported.blocks().size());
  }

  private void crash(List<EngineAction> actions) {
    batch.all().toList().forEach(sequence -> abort(sequence, WorkState.BROKEN, actions));
    batch.clear();
    streams.clear();
    cache.clear();
    step = null;
    up = false;
  }

  private void restart(Incarnation incarnation) {
    phase = UpstreamPhase.SERVING;
    drainedReported = false;
    orders.reset();
    reporter.reset(incarnation, nowNs);
    up = true;
  }

  private void abort(Sequence sequence, WorkState end, List<EngineAction> actions) {
    RequestId request = sequence.request().id();
    ledger.ended(sequence, end);
    streams.find(request).ifPresent(EngineStream::abort);
    streams.retain(request, nowNs);
    actions.add(new EngineAction.StreamAborted(request));
  }

  private void runSteps(List<EngineAction> actions) {
    while (step != null && step.endNs() <= nowNs) {
      Step ended = step;
      endStep(ended, actions);
      step = nextStep(ended.endNs());
    }
  }

  private Step nextStep(long startNs) {
    batch.admitQueued(cache);
    return batch.hasRunning() ? batch.plan(startNs, stragglerFactor) : null;
  }

  private void endStep(Step ended, List<EngineAction> actions) {
    ledger.stepped();
    double stepMs = ended.durationNs() / NS_PER_MS;
    meanStepMs += STEP_SMOOTHING * (stepMs - meanStepMs);
    for (StepPart part : ended.parts()) {
      if (!part.sequence().isCancelled()) {
        advance(part, ended.endNs(), actions);
      }
    }
  }

  private void advance(StepPart part, long endNs, List<EngineAction> actions) {
    Sequence sequence = part.sequence();
    if (part.prefillTokens() > 0) {
      sequence.prefill(part.prefillTokens(), cache);
      if (sequence.remainingPrefillTokens() > 0) {
        return;
      }
      actions.add(
          new EngineAction.Prefilled(
              sequence.request().id(), sequence.cachedTokens(), sequence.processedTokens()));
    }
    sequence.generateToken();
    emit(sequence, endNs, actions);
  }

  private void emit(Sequence sequence, long endNs, List<EngineAction> actions) {
    RequestId request = sequence.request().id();
    EngineStream stream = streams.find(request).orElseThrow();
    if (!sequence.isDone()) {
      stream
          .tokens(sequence.outputTokens())
          .ifPresent(frame -> actions.add(new EngineAction.Frame(frame)));
      return;
    }
    stream.finish(sequence.usage()).forEach(f -> actions.add(new EngineAction.Frame(f)));
    batch.remove(sequence);
    ledger.ended(sequence, WorkState.COMPLETED);
    streams.retain(request, endNs);
  }

  private void completeEvent(List<EngineAction> actions) {
    if (step == null) {
      step = nextStep(nowNs);
    }
    streams.expire(nowNs);
    if (orders.modelRegistry().advance(nowNs)) {
      reporter.announceNow(nowNs);
    }
    reporter.advance(this::status, cache, nowNs, actions);
    if (phase == UpstreamPhase.LEAVING && batch.isEmpty() && !drainedReported) {
      drainedReported = true;
      actions.add(new EngineAction.Drained());
    }
  }

  private EngineStatus status() {
    LoadReport load =
        new LoadReport(
            batch.runningCount(),
            batch.queuedCount(),
            batch.remainingPrefillTokens(),
            meanStepMs,
            cache.usedFraction(),
            0);
    return new EngineStatus(orders.role(), phase, orders.modelRegistry().loaded(), load);
  }
}
