package org.teaseltrail.standin.model;

import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.Comparator;
import java.util.Deque;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.OptionalLong;
import java.util.PriorityQueue;
import java.util.SplittableRandom;
import org.teaseltrail.core.id.RequestId;
import org.teaseltrail.core.upstream.LoadReport;
import org.teaseltrail.core.upstream.UpstreamPhase;

/**
 * Deterministic model of a plain service. The duration of a call is log-normal. Executions are
 * counted by request id, so that duplicate executions are visible; avoiding them is the callers'
 * responsibility, so a known id isn't refused. The protocol of plain services can't report that a
 * call was not executed, so a leaving service still accepts calls.
 */
public final class ServiceModel implements UpstreamModel<ServiceEvent, ServiceAction> {

  /** Maximum number of requests whose executions are counted; the oldest are removed. */
  private static final int MAX_TRACKED_REQUESTS = 200_000;

  private static final double NS_PER_MS = 1e6;

  private final ServiceSettings settings;
  private final SplittableRandom random;
  private final ServiceReporter reporter;
  private final Deque<RequestId> queued = new ArrayDeque<>();
  private final PriorityQueue<Running> running =
      new PriorityQueue<>(Comparator.comparingLong(Running::endNs));
  private final Map<RequestId, Integer> executions = new LinkedHashMap<>();
  private UpstreamPhase phase = UpstreamPhase.SERVING;
  private double stragglerFactor;
  private boolean up = true;
  private boolean drainedReported;
  private long nowNs;

  /**
   * Creates a service that is up and idle.
   *
   * @param settings its settings
   * @param startNs current monotonic time, in nanoseconds
   */
  public ServiceModel(ServiceSettings settings, long startNs) {
    this.settings = settings;
    this.random = new SplittableRandom(settings.seed());
    this.reporter = new ServiceReporter(settings, startNs);
    this.stragglerFactor = settings.stragglerFactor();
    this.nowNs = startNs;
  }

  @Override
  public List<ServiceAction> handle(ServiceEvent event, long atNs) {
    EngineInvariant.TIME_GROWS.check(atNs >= nowNs);
    nowNs = atNs;
    List<ServiceAction> actions = new ArrayList<>();
    if (up) {
      completeCalls(actions);
      handleUp(event, actions);
    } else {
      handleDown(event, actions);
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
    long endNs = running.isEmpty() ? Long.MAX_VALUE : running.peek().endNs();
    return OptionalLong.of(Math.min(endNs, reporter.nextWakeupNs()));
  }

  @Override
  public boolean isIdle() {
    return running.isEmpty() && queued.isEmpty();
  }

  /**
   * Returns how many executions of each of the most recent requests have started.
   *
   * @return the count by request
   */
  public Map<RequestId, Integer> executionsByRequest() {
    return Map.copyOf(executions);
  }

  private void handleUp(ServiceEvent event, List<ServiceAction> actions) {
    if (event instanceof ServiceEvent.Call call) {
      drainedReported = false;
      queued.add(call.request());
    } else if (event instanceof ServiceEvent.SetStragglerFactor straggle) {
      stragglerFactor = straggle.factor();
    } else if (event instanceof ServiceEvent.Drain) {
      phase = UpstreamPhase.LEAVING;
      reporter.announceNow(nowNs);
    } else if (event instanceof ServiceEvent.Crash) {
      crash(actions);
    }
  }

  private void handleDown(ServiceEvent event, List<ServiceAction> actions) {
    if (event instanceof ServiceEvent.Call call) {
      actions.add(new ServiceAction.Unreachable(call.request(), false));
    } else if (event instanceof ServiceEvent.Restart restart) {
      phase = UpstreamPhase.SERVING;
      drainedReported = false;
      reporter.reset(restart.incarnation(), nowNs);
      up = true;
    }
  }

  private void crash(List<ServiceAction> actions) {
    running.forEach(r -> actions.add(new ServiceAction.Unreachable(r.request(), true)));
    queued.forEach(request -> actions.add(new ServiceAction.Unreachable(request, false)));
    running.clear();
    queued.clear();
    up = false;
  }

  private void completeCalls(List<ServiceAction> actions) {
    while (!running.isEmpty() && running.peek().endNs() <= nowNs) {
      Running ended = running.remove();
      actions.add(new ServiceAction.Respond(ended.request(), ended.execution()));
      start(ended.endNs());
    }
  }

  private void start(long startNs) {
    while (running.size() < settings.maxRunning() && !queued.isEmpty()) {
      RequestId request = queued.remove();
      int execution = executions.merge(request, 1, Integer::sum);
      running.add(new Running(request, execution, startNs + sampleDurationNs()));
    }
    while (executions.size() > MAX_TRACKED_REQUESTS) {
      executions.remove(executions.keySet().iterator().next());
    }
    EngineInvariant.BATCH_WITHIN_LIMIT.check(running.size() <= settings.maxRunning());
  }

  private long sampleDurationNs() {
    double ms = settings.medianMs() * Math.exp(settings.sigma() * random.nextGaussian());
    return Math.max(1, Math.round(ms * stragglerFactor * NS_PER_MS));
  }

  private void completeEvent(List<ServiceAction> actions) {
    start(nowNs);
    LoadReport load = new LoadReport(running.size(), queued.size(), 0, settings.medianMs(), 0, 0);
    reporter.advance(load, phase, nowNs, actions);
    if (phase == UpstreamPhase.LEAVING && isIdle() && !drainedReported) {
      drainedReported = true;
      actions.add(new ServiceAction.Drained());
    }
  }

  private record Running(RequestId request, int execution, long endNs) {}
}
