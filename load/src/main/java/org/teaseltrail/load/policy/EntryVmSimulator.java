package org.teaseltrail.load.policy;

import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import org.teaseltrail.core.id.RequestId;
import org.teaseltrail.core.id.UpstreamId;
import org.teaseltrail.core.id.VmId;
import org.teaseltrail.core.message.ControlMessage;
import org.teaseltrail.core.message.DeclineReason;
import org.teaseltrail.core.message.EndKind;
import org.teaseltrail.core.message.EntryMessage;
import org.teaseltrail.core.message.RefusalKind;
import org.teaseltrail.core.message.Usage;
import org.teaseltrail.core.message.WithdrawReason;
import org.teaseltrail.core.schedule.SchedulerAction;
import org.teaseltrail.load.measure.RequestOutcome;
import org.teaseltrail.load.workload.Deployment;
import org.teaseltrail.load.workload.PlannedRequest;
import org.teaseltrail.standin.model.EngineFrame;

/**
 * Simulates the entry VMs and their callers in virtual time: submits tickets to the schedulers,
 * dispatches granted requests to the engines and forwards the generated tokens to the callers.
 */
final class EntryVmSimulator implements EngineListener {

  private static final long NS_PER_MS = 1_000_000;
  private static final long PROGRESS_REPORT_INTERVAL_NS = 1_000 * NS_PER_MS;

  private final VirtualTimeExecutor time;
  private final Deployment deployment;
  private final RunMetrics measures;
  private final NetworkDelays network;
  private final Map<RequestId, TrackedRequest> requests = new HashMap<>();
  private final Map<RequestId, Long> lastProgressNs = new HashMap<>();
  private Map<VmId, SchedulerSimulator> schedulers = Map.of();
  private Map<UpstreamId, EngineSimulator> engines = Map.of();

  EntryVmSimulator(VirtualTimeExecutor time, Deployment deployment, RunMetrics measures) {
    this.time = time;
    this.deployment = deployment;
    this.measures = measures;
    this.network = new NetworkDelays(deployment);
  }

  void connect(
      Map<VmId, SchedulerSimulator> toSchedulers, Map<UpstreamId, EngineSimulator> toEngines) {
    schedulers = toSchedulers;
    engines = toEngines;
  }

  /**
   * Schedules a request's arrival and, if the caller sends a deadline, its disconnect at the
   * deadline.
   */
  void plan(PlannedRequest planned, VmId vm, boolean counted) {
    TrackedRequest request = new TrackedRequest(planned, vm, counted);
    requests.put(request.id(), request);
    time.scheduleAt(planned.atNs() + network.clientNs(), () -> arrive(request));
    if (planned.kind().sendsDeadline()) {
      time.scheduleAt(request.usefulDeadlineNs() + network.clientNs(), () -> disconnect(request));
    }
  }

  /** Handles a message from a scheduler. */
  void receive(SchedulerAction.Send send) {
    if (send.message() instanceof ControlMessage.Grant grant) {
      granted(send.vm(), grant);
    } else if (send.message() instanceof ControlMessage.Refused refused) {
      onRefused(requests.get(refused.request()), refused.kind());
    }
  }

  /** Records an outcome for each request that is still waiting or running. */
  void finish() {
    for (TrackedRequest request : List.copyOf(requests.values())) {
      if (!request.hasEnded() && request.planned().atNs() <= time.nowNs()) {
        measures.ended(request, RequestOutcome.UNFINISHED);
      }
    }
  }

  @Override
  public void refused(RequestId id, UpstreamId engine, DeclineReason reason) {
    TrackedRequest request = requests.get(id);
    time.scheduleAfter(network.upstreamNs(), () -> declined(request, engine, reason));
  }

  @Override
  public void prefilled(RequestId id, UpstreamId engine, int cachedTokens, int processedTokens) {
    measures.prefilled(requests.get(id), engine, cachedTokens, processedTokens);
  }

  @Override
  public void frames(UpstreamId engine, List<EngineFrame> frames) {
    time.scheduleAfter(network.upstreamNs(), () -> frames.forEach(f -> received(engine, f)));
  }

  @Override
  public void broken(RequestId id, UpstreamId engine) {
    TrackedRequest request = requests.get(id);
    time.scheduleAfter(network.upstreamNs(), () -> fail(request, engine));
  }

  @Override
  public void crashed(UpstreamId engine) {
    measures.crashed(engine);
  }

  private void arrive(TrackedRequest request) {
    measures.offered(request);
    sendToScheduler(request, new EntryMessage.Offer(request.ticket(deployment, time.nowNs())));
  }

  private void granted(VmId vm, ControlMessage.Grant grant) {
    TrackedRequest request = requests.get(grant.request());
    if (request.hasEnded() || request.isDispatched()) {
      schedulers.get(vm).send(vm, decline(grant, DeclineReason.UNKNOWN_REQUEST));
      return;
    }
    EngineSimulator engine = engines.get(grant.upstream());
    request.dispatch(grant.upstream(), time.nowNs());
    time.scheduleAfter(network.upstreamNs(), () -> engine.submit(request));
  }

  private static EntryMessage decline(ControlMessage.Grant grant, DeclineReason reason) {
    return new EntryMessage.Declined(grant.request(), grant.upstream(), reason);
  }

  private void declined(TrackedRequest request, UpstreamId engine, DeclineReason reason) {
    request.undoDispatch();
    DeclineReason reportedReason = request.hasEnded() ? DeclineReason.UNKNOWN_REQUEST : reason;
    sendToScheduler(request, new EntryMessage.Declined(request.id(), engine, reportedReason));
  }

  private void received(UpstreamId engine, EngineFrame frame) {
    TrackedRequest request = requests.get(frame.request());
    if (request.hasEnded()) {
      return;
    }
    AnswerValidator.checkOrder(request, engine, frame.firstToken());
    if (frame.isEnd()) {
      complete(request, engine, frame.usage().orElseThrow());
    } else {
      tokens(request, engine, frame.tokens());
    }
  }

  private void tokens(TrackedRequest request, UpstreamId engine, int count) {
    long nowNs = time.nowNs();
    if (request.tokens() == 0) {
      long sinceMs = (nowNs - request.dispatchedNs()) / NS_PER_MS;
      sendToScheduler(request, new EntryMessage.FirstToken(request.id(), engine, sinceMs));
      lastProgressNs.put(request.id(), nowNs);
    } else if (nowNs - lastProgressNs.get(request.id()) >= PROGRESS_REPORT_INTERVAL_NS) {
      sendToScheduler(
          request, new EntryMessage.Progress(request.id(), engine, request.tokens() + count));
      lastProgressNs.put(request.id(), nowNs);
    }
    measures.tokens(request, count, nowNs + network.clientNs());
  }

  private void complete(TrackedRequest request, UpstreamId engine, Usage usage) {
    AnswerValidator.whole(request, usage);
    end(request, engine, EndKind.COMPLETED, usage);
    boolean useful = time.nowNs() + network.clientNs() <= request.usefulDeadlineNs();
    measures.ended(request, useful ? RequestOutcome.USEFUL : RequestOutcome.LATE);
  }

  private void fail(TrackedRequest request, UpstreamId engine) {
    if (request.hasEnded()) {
      return;
    }
    end(request, engine, EndKind.FAILED, usageSoFar(request));
    measures.ended(request, RequestOutcome.FAILED);
  }

  private void disconnect(TrackedRequest request) {
    if (request.hasEnded()) {
      return;
    }
    Optional<UpstreamId> engine = request.upstream();
    if (engine.isEmpty()) {
      sendToScheduler(request, new EntryMessage.Withdraw(request.id(), WithdrawReason.DEADLINE));
      measures.ended(request, RequestOutcome.DEADLINE);
      return;
    }
    time.scheduleAfter(network.upstreamNs(), () -> engines.get(engine.get()).cancel(request.id()));
    end(request, engine.get(), EndKind.CANCELLED, usageSoFar(request));
    measures.ended(request, RequestOutcome.HUNG_UP);
  }

  private void onRefused(TrackedRequest request, RefusalKind kind) {
    if (request.hasEnded()) {
      return;
    }
    RequestOutcome outcome =
        switch (kind) {
          case SHED -> RequestOutcome.SHED;
          case DEADLINE -> RequestOutcome.DEADLINE;
          default -> RequestOutcome.REFUSED;
        };
    measures.ended(request, outcome);
  }

  private void end(TrackedRequest request, UpstreamId engine, EndKind kind, Usage usage) {
    long sinceMs = (time.nowNs() - request.dispatchedNs()) / NS_PER_MS;
    sendToScheduler(request, new EntryMessage.Ended(request.id(), engine, kind, usage, sinceMs));
  }

  private static Usage usageSoFar(TrackedRequest request) {
    return new Usage(request.planned().prompt().tokens(), 0, request.tokens());
  }

  private void sendToScheduler(TrackedRequest request, EntryMessage message) {
    schedulers.get(request.vm()).send(request.vm(), message);
  }
}
