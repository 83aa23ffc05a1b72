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
 * Models a plain service: each call takes a log-normal time, and each run is counted by its request
 * id, so that doubled runs show. It refuses no known id: that is the callers' affair. Plain
 * services have no way to say "not run", so a leaving one still takes the calls that reach it.
 */
public final class ServiceModel implements UpstreamModel<ServiceEvent, ServiceAction> {

  /** Requests whose runs are remembered. */
  private static final int MAX_REQUESTS = 200_000;

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
  private boolean drainedTold;
  private long nowNs;

  /**
   * Makes a service that is up and idle.
   *
   * @param settings its settings
   * @param startNs monotonic time now, in nanoseconds
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
      finishCalls(actions);
      handleUp(event, actions);
    } else {
      handleDown(event, actions);
    }
    if (up) {
      finishMoment(actions);
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
   * Returns how often each of the last requests has begun to run.
   *
   * @return the count by request
   */
  public Map<RequestId, Integer> executionsByRequest() {
    return Map.copyOf(executions);
  }

  private void handleUp(ServiceEvent event, List<ServiceAction> actions) {
    if (event instanceof ServiceEvent.Call call) {
      drainedTold = false;
      queued.add(call.request());
    } else if (event instanceof ServiceEvent.Straggle straggle) {
      stragglerFactor = straggle.factor();
    } else if (event instanceof ServiceEvent.Leave) {
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
      drainedTold = false;
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

  private void finishCalls(List<ServiceAction> actions) {
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
      running.add(new Running(request, execution, startNs + drawNs()));
    }
    while (executions.size() > MAX_REQUESTS) {
      executions.remove(executions.keySet().iterator().next());
    }
    EngineInvariant.BATCH_WITHIN_LIMIT.check(running.size() <= settings.maxRunning());
  }

  private long drawNs() {
    double ms = settings.medianMs() * Math.exp(settings.sigma() * random.nextGaussian());
    return Math.max(1, Math.round(ms * stragglerFactor * NS_PER_MS));
  }

  private void finishMoment(List<ServiceAction> actions) {
    start(nowNs);
    LoadReport load = new LoadReport(running.size(), queued.size(), 0, settings.medianMs(), 0, 0);
    reporter.advance(load, phase, nowNs, actions);
    if (phase == UpstreamPhase.LEAVING && isIdle() && !drainedTold) {
      drainedTold = true;
      actions.add(new ServiceAction.Drained());
    }
  }

  private record Running(RequestId request, int execution, long endNs) {}
}
