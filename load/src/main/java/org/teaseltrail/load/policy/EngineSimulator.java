package org.teaseltrail.load.policy;

import java.util.ArrayList;
import java.util.HashSet;
import java.util.List;
import java.util.Optional;
import java.util.OptionalLong;
import java.util.Set;
import org.teaseltrail.core.configuration.RouteTarget.ModelTarget;
import org.teaseltrail.core.id.Incarnation;
import org.teaseltrail.core.id.RequestId;
import org.teaseltrail.core.id.UpstreamId;
import org.teaseltrail.core.message.DeclineReason;
import org.teaseltrail.core.upstream.ServedModel;
import org.teaseltrail.core.upstream.SocketAddress;
import org.teaseltrail.load.workload.Deployment;
import org.teaseltrail.load.workload.EngineSpec;
import org.teaseltrail.standin.model.AnswerTextGenerator;
import org.teaseltrail.standin.model.EngineAction;
import org.teaseltrail.standin.model.EngineEvent;
import org.teaseltrail.standin.model.EngineFrame;
import org.teaseltrail.standin.model.EngineModel;
import org.teaseltrail.standin.model.EngineRequest;
import org.teaseltrail.standin.model.EngineSettings;
import org.teaseltrail.standin.model.HardwareProfile;
import org.teaseltrail.standin.model.UpstreamIdentity;

/**
 * Simulates one engine in virtual time with the engine model of the stand-ins (simulated
 * upstreams).
 */
final class EngineSimulator {

  private static final int PREFILL_CHUNK_TOKENS = 512;
  private static final SocketAddress ADDRESS = new SocketAddress("127.0.0.1", 1);
  private static final long NO_TICK = Long.MAX_VALUE;

  private final VirtualTimeExecutor time;
  private final UpstreamId id;
  private final ModelTarget target;
  private final EngineModel model;
  private final EngineListener listener;
  private final UpstreamEventListener news;
  private final Set<RequestId> inPrefill = new HashSet<>();
  private long incarnation = 1;
  private long nextTickNs = NO_TICK;

  EngineSimulator(
      VirtualTimeExecutor time,
      Deployment deployment,
      EngineSpec spec,
      EngineListener listener,
      UpstreamEventListener news,
      long seed) {
    this.time = time;
    this.id = spec.id();
    this.target = new ModelTarget(deployment.model(), deployment.version(), Optional.empty());
    this.model = new EngineModel(settings(deployment, spec, incarnation, seed), time.nowNs());
    this.listener = listener;
    this.news = news;
  }

  UpstreamId id() {
    return id;
  }

  void start() {
    handle(new EngineEvent.Tick());
  }

  void submit(TrackedRequest request) {
    inPrefill.add(request.id());
    handle(
        new EngineEvent.Submit(
            new EngineRequest(
                request.id(),
                target,
                request.planned().prompt().tokens(),
                request.blocks(),
                request.planned().outputTokens(),
                AnswerTextGenerator.seedOf(request.id()))));
  }

  /** Cancels a request; the tokens of its prompt that were already processed count as processed. */
  void cancel(RequestId request) {
    handle(new EngineEvent.Tick());
    var before = model.counters();
    if (inPrefill.contains(request)) {
      handle(new EngineEvent.Cancel(request));
      var after = model.counters();
      recordPartialPrefill(
          request,
          after.cachedTokens() - before.cachedTokens(),
          after.prefillTokens() - before.prefillTokens());
    } else {
      handle(new EngineEvent.Cancel(request));
    }
  }

  void slowDown(double factor) {
    handle(new EngineEvent.SetStragglerFactor(factor));
  }

  void leave() {
    handle(new EngineEvent.Drain());
  }

  void crash() {
    handle(new EngineEvent.Tick());
    handle(new EngineEvent.Crash());
    var work = model.workByRequest();
    for (RequestId request : List.copyOf(inPrefill)) {
      var done = work.get(request);
      recordPartialPrefill(request, done.cachedTokens(), done.prefillTokens());
    }
    listener.crashed(id);
  }

  void restart() {
    incarnation++;
    handle(new EngineEvent.Restart(new Incarnation(incarnation)));
  }

  private void recordPartialPrefill(RequestId request, long cachedTokens, long processedTokens) {
    if (inPrefill.remove(request) && processedTokens > 0) {
      listener.prefilled(request, id, (int) cachedTokens, (int) processedTokens);
    }
  }

  private void handle(EngineEvent event) {
    List<EngineFrame> frames = new ArrayList<>();
    for (EngineAction action : model.handle(event, time.nowNs())) {
      execute(action, frames);
    }
    if (!frames.isEmpty()) {
      listener.frames(id, frames);
    }
    scheduleTick();
  }

  private void execute(EngineAction action, List<EngineFrame> frames) {
    if (action instanceof EngineAction.Frame frame) {
      frames.add(frame.frame());
    } else if (action instanceof EngineAction.Prefilled done) {
      inPrefill.remove(done.request());
      listener.prefilled(done.request(), id, done.cachedTokens(), done.processedTokens());
    } else if (action instanceof EngineAction.Refuse refuse) {
      inPrefill.remove(refuse.request());
      listener.refused(refuse.request(), id, DeclineReason.REFUSED_BY_UPSTREAM);
    } else if (action instanceof EngineAction.Unreachable unreachable) {
      inPrefill.remove(unreachable.request());
      listener.refused(unreachable.request(), id, DeclineReason.CONNECT_FAILED);
    } else if (action instanceof EngineAction.StreamAborted broken) {
      listener.broken(broken.request(), id);
    } else if (action instanceof EngineAction.Announce announce) {
      news.onAnnouncement(announce.announcement());
    } else if (action instanceof EngineAction.PublishCacheEvent publish) {
      news.onCacheEvent(publish.event());
    }
  }

  private void scheduleTick() {
    OptionalLong wakeupNs = model.nextWakeupNs();
    if (wakeupNs.isPresent() && wakeupNs.getAsLong() < nextTickNs) {
      long atNs = wakeupNs.getAsLong();
      nextTickNs = atNs;
      time.scheduleAt(atNs, () -> tick(atNs));
    }
  }

  private void tick(long scheduledNs) {
    if (scheduledNs == nextTickNs) {
      nextTickNs = NO_TICK;
      handle(new EngineEvent.Tick());
    }
  }

  private static EngineSettings settings(
      Deployment deployment, EngineSpec spec, long incarnation, long seed) {
    UpstreamIdentity identity =
        new UpstreamIdentity(spec.id(), new Incarnation(incarnation), ADDRESS, spec.dataCenter());
    HardwareProfile hardware =
        new HardwareProfile(
            spec.stepMs(),
            spec.stepPerSequenceMs(),
            spec.prefillPerTokenMs(),
            spec.maxBatch(),
            PREFILL_CHUNK_TOKENS,
            spec.cacheTokens());
    ServedModel served = new ServedModel(deployment.model(), deployment.version(), Set.of());
    long engineSeed = seed * 31 + spec.id().value().hashCode();
    return EngineSettings.standard(identity, hardware, List.of(served), engineSeed);
  }
}
