package org.teaseltrail.standin.model;

import java.util.ArrayList;
import java.util.List;
import java.util.Optional;
import java.util.OptionalLong;
import java.util.Set;
import java.util.stream.LongStream;
import org.teaseltrail.core.configuration.RouteTarget.ModelTarget;
import org.teaseltrail.core.id.AdapterId;
import org.teaseltrail.core.id.DataCenterId;
import org.teaseltrail.core.id.Incarnation;
import org.teaseltrail.core.id.ModelId;
import org.teaseltrail.core.id.ModelVersion;
import org.teaseltrail.core.id.RequestId;
import org.teaseltrail.core.id.UpstreamId;
import org.teaseltrail.core.upstream.ServedModel;
import org.teaseltrail.core.upstream.SocketAddress;

/** Runs an engine model under virtual time and records its actions. */
final class EngineSimulation {

  static final long MS = 1_000_000;
  static final ModelTarget TARGET =
      new ModelTarget(new ModelId("tutor"), new ModelVersion("1"), Optional.empty());

  /** A step takes 10 ms, plus 1 ms per decoding sequence, plus 0.1 ms per prompt token. */
  static final HardwareProfile HARDWARE = new HardwareProfile(10, 1, 0.1, 2, 512, 4 * 256);

  /**
   * Action with the time at which it occurred.
   *
   * @param atMs time since the start, in milliseconds
   * @param action the action
   */
  record TimedAction(double atMs, EngineAction action) {}

  private final EngineModel model;
  private final List<TimedAction> timedActions = new ArrayList<>();
  private long nowNs;

  EngineSimulation(EngineSettings settings) {
    this.model = new EngineModel(settings, 0);
  }

  static EngineSettings settings() {
    return settings(ReportingProfile.standard(), true);
  }

  static EngineSettings settings(ReportingProfile reporting, boolean honoursFencing) {
    UpstreamIdentity identity =
        new UpstreamIdentity(
            new UpstreamId("e1"),
            new Incarnation(1),
            new SocketAddress("127.0.0.1", 9000),
            new DataCenterId("regina-a"));
    List<ServedModel> models =
        List.of(new ServedModel(TARGET.model(), TARGET.version(), Set.of(new AdapterId("quiz"))));
    return new EngineSettings(
        identity,
        HARDWARE,
        reporting,
        models,
        AnswerLength.EXACT,
        1,
        honoursFencing,
        60_000,
        5_000,
        100,
        1,
        7);
  }

  /** Creates a request whose complete blocks have consecutive hashes from {@code firstBlock}. */
  static EngineRequest request(String id, int promptTokens, long firstBlock, int maxTokens) {
    int blocks = promptTokens / HardwareProfile.BLOCK_TOKENS;
    List<Long> chain = LongStream.range(firstBlock, firstBlock + blocks).boxed().toList();
    RequestId requestId = new RequestId(id);
    return new EngineRequest(
        requestId, TARGET, promptTokens, chain, maxTokens, AnswerTextGenerator.seedOf(requestId));
  }

  EngineModel model() {
    return model;
  }

  List<EngineAction> handleNow(EngineEvent event) {
    List<EngineAction> actions = model.handle(event, nowNs);
    actions.forEach(action -> timedActions.add(new TimedAction((double) nowNs / MS, action)));
    return actions;
  }

  EngineSimulation submit(String id, int promptTokens, long firstBlock, int maxTokens) {
    handleNow(new EngineEvent.Submit(request(id, promptTokens, firstBlock, maxTokens)));
    return this;
  }

  /** Advances virtual time, with a tick at each wakeup time that the engine requests. */
  EngineSimulation advanceToMs(double atMs) {
    long endNs = Math.round(atMs * MS);
    OptionalLong wakeupNs = model.nextWakeupNs();
    while (wakeupNs.isPresent() && wakeupNs.getAsLong() <= endNs) {
      nowNs = Math.max(nowNs, wakeupNs.getAsLong());
      handleNow(new EngineEvent.Tick());
      wakeupNs = model.nextWakeupNs();
    }
    nowNs = endNs;
    return this;
  }

  List<TimedAction> timedActions() {
    return timedActions;
  }

  <T extends EngineAction> List<T> all(Class<T> type) {
    return timedActions.stream()
        .map(TimedAction::action)
        .filter(type::isInstance)
        .map(type::cast)
        .toList();
  }

  List<EngineFrame> frames(String id) {
    return all(EngineAction.Frame.class).stream()
        .map(EngineAction.Frame::frame)
        .filter(frame -> frame.request().value().equals(id))
        .toList();
  }

  /** Returns the time of the first frame of a request, in milliseconds. */
  double firstFrameMs(String id) {
    return timedActions.stream()
        .filter(
            d ->
                d.action() instanceof EngineAction.Frame f
                    && f.frame().request().value().equals(id))
        .findFirst()
        .orElseThrow()
        .atMs();
  }
}
