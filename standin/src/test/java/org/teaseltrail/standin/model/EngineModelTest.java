package org.teaseltrail.standin.model;

import static org.assertj.core.api.Assertions.assertThat;

import java.util.List;
import java.util.Optional;
import org.junit.jupiter.api.Test;
import org.teaseltrail.core.configuration.RouteTarget.ModelTarget;
import org.teaseltrail.core.id.FencingNumber;
import org.teaseltrail.core.id.Incarnation;
import org.teaseltrail.core.id.ModelId;
import org.teaseltrail.core.id.ModelVersion;
import org.teaseltrail.core.id.RequestId;
import org.teaseltrail.core.message.Usage;
import org.teaseltrail.core.upstream.Announcement;
import org.teaseltrail.core.upstream.CacheEvent;
import org.teaseltrail.core.upstream.UpstreamPhase;

class EngineModelTest {

  private final EngineSimulation run = new EngineSimulation(EngineSimulation.settings());

  @Test
  void stepTimeCountsPrefillAndDecodingSequences() {
    run.submit("a", 100, 0, 3).advanceToMs(1_000);
    // 10 + 100 * 0.1 ms to the first token, then 10 + 1 ms for each of the other two.
    assertThat(run.firstFrameMs("a")).isEqualTo(20);
    assertThat(frameTimesMs("a")).containsExactly(20.0, 31.0, 42.0, 42.0);
    EngineFrame end = run.frames("a").get(3);
    assertThat(end.usage()).contains(new Usage(100, 0, 3));
    assertThat(end.sequence()).isEqualTo(3);
  }

  @Test
  void longPromptIsProcessedInChunks() {
    run.submit("a", 1_200, 0, 1).advanceToMs(1_000);
    // Three steps of 512, 512 and 176 prompt tokens.
    assertThat(run.firstFrameMs("a")).isEqualTo(3 * 10 + 120);
  }

  @Test
  void requestsBeyondFullBatchWaitInOrder() {
    run.submit("a", 10, 0, 5).submit("b", 10, 0, 20).submit("c", 10, 0, 1).submit("d", 10, 0, 1);
    run.advanceToMs(2_000);
    assertThat(run.firstFrameMs("b")).isLessThan(run.firstFrameMs("c"));
    assertThat(run.firstFrameMs("c")).isLessThan(run.firstFrameMs("d"));
    assertThat(run.firstFrameMs("c")).isGreaterThan(lastFrameMs("a"));
  }

  @Test
  void prefixCacheSavesPrefillAndDropsLeastRecentlyUsed() {
    run.submit("a", 600, 0, 1).advanceToMs(1_000).submit("b", 600, 0, 1).advanceToMs(2_000);
    assertThat(usage("b").cachedTokens()).isEqualTo(512);
    run.submit("c", 800, 100, 1).advanceToMs(3_000).submit("d", 600, 0, 1).advanceToMs(4_000);
    // The cache holds four blocks: the three of c evict the second of the two of a, not the first.
    assertThat(usage("d").cachedTokens()).isEqualTo(256);
  }

  @Test
  void lastPromptTokenIsAlwaysProcessed() {
    run.submit("a", 512, 0, 1).advanceToMs(1_000).submit("b", 512, 0, 1).advanceToMs(2_000);
    assertThat(usage("b").cachedTokens()).isEqualTo(511);
    assertThat(run.model().counters().prefillTokens()).isEqualTo(513);
  }

  @Test
  void resumeReturnsRemainingFramesUntilRetentionExpires() {
    run.submit("a", 10, 0, 3).advanceToMs(1_000);
    List<EngineAction> again = run.handleNow(new EngineEvent.Resume(new RequestId("a"), 2));
    assertThat(again)
        .containsExactlyElementsOf(
            run.frames("a").subList(2, 4).stream()
                .<EngineAction>map(EngineAction.Frame::new)
                .toList());
    run.advanceToMs(61_500);
    assertThat(run.handleNow(new EngineEvent.Resume(new RequestId("a"), 2)))
        .contains(new EngineAction.StreamUnknown(new RequestId("a")));
  }

  @Test
  void knownRequestIsRefusedAndDoesNotRunTwice() {
    run.submit("a", 10, 0, 3).advanceToMs(1_000).submit("a", 10, 0, 3).advanceToMs(2_000);
    assertThat(run.all(EngineAction.Refuse.class))
        .containsExactly(
            new EngineAction.Refuse(new RequestId("a"), EngineRefusal.DUPLICATE_REQUEST));
    RequestWork work = run.model().workByRequest().get(new RequestId("a"));
    assertThat(work.submissions()).isEqualTo(2);
    assertThat(work.executions()).isEqualTo(1);
  }

  @Test
  void cancelStopsAtOnceAndItsPrefillCountsAsDiscarded() {
    run.submit("a", 100, 0, 50)
        .advanceToMs(45)
        .handleNow(new EngineEvent.Cancel(new RequestId("a")));
    run.advanceToMs(1_000);
    assertThat(run.frames("a")).hasSize(3);
    assertThat(run.all(EngineAction.StreamAborted.class)).hasSize(1);
    assertThat(run.model().counters().discardedPrefillTokens()).isEqualTo(100);
  }

  @Test
  void unknownModelIsRefused() {
    EngineRequest request =
        new EngineRequest(
            new RequestId("a"),
            new ModelTarget(new ModelId("other"), new ModelVersion("1"), Optional.empty()),
            1,
            List.of(),
            1,
            0);
    assertThat(run.handleNow(new EngineEvent.Submit(request)))
        .contains(new EngineAction.Refuse(request.id(), EngineRefusal.MODEL_NOT_LOADED));
  }

  @Test
  void leavingEngineCompletesItsRequestsAndRefusesNewOnes() {
    run.submit("a", 10, 0, 5).advanceToMs(15).handleNow(new EngineEvent.Drain());
    run.submit("b", 10, 0, 5).advanceToMs(1_000);
    assertThat(run.frames("a")).hasSize(6);
    assertThat(run.all(EngineAction.Refuse.class).get(0).reason()).isEqualTo(EngineRefusal.LEAVING);
    assertThat(announcements().get(1).phase()).isEqualTo(UpstreamPhase.LEAVING);
    assertThat(run.all(EngineAction.Drained.class)).hasSize(1);
  }

  @Test
  void crashAbortsAllStreamsAndRestartIsEmpty() {
    run.submit("a", 600, 0, 50).submit("b", 10, 0, 50).submit("c", 10, 0, 1).advanceToMs(100);
    run.handleNow(new EngineEvent.Crash());
    assertThat(run.all(EngineAction.StreamAborted.class)).hasSize(3);
    assertThat(run.model().nextWakeupNs()).isEmpty();
    assertThat(run.handleNow(new EngineEvent.Submit(EngineSimulation.request("d", 10, 0, 1))))
        .containsExactly(new EngineAction.Unreachable(new RequestId("d")));
    run.handleNow(new EngineEvent.Restart(new Incarnation(2)));
    run.submit("a", 600, 0, 1).advanceToMs(2_000);
    assertThat(usage("a").cachedTokens()).isZero();
    assertThat(announcements().get(announcements().size() - 1).incarnation())
        .isEqualTo(new Incarnation(2));
  }

  @Test
  void stragglerTakesLongerSteps() {
    run.handleNow(new EngineEvent.SetStragglerFactor(3));
    run.submit("a", 100, 0, 1).advanceToMs(1_000);
    assertThat(run.firstFrameMs("a")).isEqualTo(60);
  }

  @Test
  void oldFencingNumberIsRefusedOnlyWhereHonoured() {
    EngineOrder order = new EngineOrder.LoadModel(new ModelId("m2"), new ModelVersion("1"));
    run.handleNow(new EngineEvent.Order(order, new FencingNumber(5)));
    assertThat(run.handleNow(new EngineEvent.Order(order, new FencingNumber(4))))
        .contains(new EngineAction.OrderRefused(new FencingNumber(5)));
    EngineSimulation withoutFencing =
        new EngineSimulation(EngineSimulation.settings(ReportingProfile.standard(), false));
    withoutFencing.handleNow(new EngineEvent.Order(order, new FencingNumber(5)));
    assertThat(withoutFencing.handleNow(new EngineEvent.Order(order, new FencingNumber(4))))
        .contains(new EngineAction.OrderAccepted());
  }

  @Test
  void orderedModelIsServedOnceItsWeightsAreLoaded() {
    EngineOrder order = new EngineOrder.LoadModel(new ModelId("m2"), new ModelVersion("1"));
    run.handleNow(new EngineEvent.Order(order, new FencingNumber(5)));
    run.advanceToMs(4_999);
    assertThat(announcements().get(announcements().size() - 1).models()).hasSize(1);
    run.advanceToMs(5_000);
    assertThat(announcements().get(announcements().size() - 1).models()).hasSize(2);
  }

  @Test
  void announcedLoadIsStale() {
    run.advanceToMs(1_800).submit("a", 10, 0, 200).advanceToMs(2_000);
    Announcement atTwo = announcements().get(2);
    assertThat(atTwo.load().runningRequests()).isZero();
    assertThat(atTwo.load().ageMs()).isGreaterThanOrEqualTo(500);
    run.advanceToMs(3_000);
    assertThat(announcements().get(3).load().runningRequests()).isEqualTo(1);
  }

  @Test
  void cacheEventsAreDelayedAndInOrder() {
    run.submit("a", 600, 0, 1).advanceToMs(300);
    assertThat(run.all(EngineAction.PublishCacheEvent.class)).isEmpty();
    run.advanceToMs(1_000);
    assertThat(cacheEvents()).hasSize(1);
    assertThat(cacheEvents().get(0).storedBlocks()).containsExactly(0L, 1L);
  }

  @Test
  void lostCacheEventLeavesGapInTheSequence() {
    ReportingProfile lossy = new ReportingProfile(1_000, 3_000, 500, 10, 0, 0.5);
    EngineSimulation lossyRun = new EngineSimulation(EngineSimulation.settings(lossy, true));
    for (int i = 0; i < 20; i++) {
      lossyRun.submit("r" + i, 300, 10 * i, 1).advanceToMs(1_000 * (i + 1));
    }
    List<Long> sequences =
        lossyRun.all(EngineAction.PublishCacheEvent.class).stream()
            .map(action -> action.event().sequence())
            .toList();
    assertThat(sequences).hasSizeBetween(5, 15).isSorted().doesNotHaveDuplicates();
    assertThat(sequences.get(sequences.size() - 1)).isGreaterThan(sequences.size());
  }

  @Test
  void importedKvCacheSavesPrefill() {
    run.submit("a", 600, 0, 1).advanceToMs(1_000);
    List<EngineAction> actions = run.handleNow(new EngineEvent.ExportKv(new RequestId("a")));
    KvCache exported = ((EngineAction.KvExported) actions.get(0)).cache();
    EngineSimulation other = new EngineSimulation(EngineSimulation.settings());
    other.handleNow(new EngineEvent.ImportKv(exported));
    other.submit("b", 600, 0, 1).advanceToMs(1_000);
    assertThat(other.frames("b").get(1).usage().orElseThrow().cachedTokens()).isEqualTo(512);
  }

  @Test
  void answerTextDoesNotDependOnChunking() {
    long seed = AnswerTextGenerator.seedOf("a prompt");
    assertThat(AnswerTextGenerator.text(seed, 0, 5))
        .isEqualTo(AnswerTextGenerator.text(seed, 0, 2) + AnswerTextGenerator.text(seed, 2, 3))
        .hasSize(20)
        .isNotEqualTo(AnswerTextGenerator.text(AnswerTextGenerator.seedOf("another"), 0, 5));
  }

  private List<Double> frameTimesMs(String id) {
    return run.timedActions().stream()
        .filter(
            d ->
                d.action() instanceof EngineAction.Frame f
                    && f.frame().request().value().equals(id))
        .map(EngineSimulation.TimedAction::atMs)
        .toList();
  }

  private double lastFrameMs(String id) {
    List<Double> times = frameTimesMs(id);
    return times.get(times.size() - 1);
  }

  private Usage usage(String id) {
    List<EngineFrame> frames = run.frames(id);
    return frames.get(frames.size() - 1).usage().orElseThrow();
  }

  private List<Announcement> announcements() {
    return run.all(EngineAction.Announce.class).stream()
        .map(EngineAction.Announce::announcement)
        .toList();
  }

  private List<CacheEvent> cacheEvents() {
    return run.all(EngineAction.PublishCacheEvent.class).stream()
        .map(EngineAction.PublishCacheEvent::event)
        .toList();
  }
}
