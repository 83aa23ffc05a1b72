package org.teaseltrail.standin.model;

import static org.assertj.core.api.Assertions.assertThat;

import java.util.List;
import java.util.SplittableRandom;
import net.jqwik.api.ForAll;
import net.jqwik.api.Property;
import net.jqwik.api.constraints.IntRange;
import org.teaseltrail.core.id.Incarnation;
import org.teaseltrail.core.id.RequestId;
import org.teaseltrail.core.message.Usage;

/** Runs the engine model with random events; the model checks its own invariants. */
class EngineModelProperties {

  private static final int REQUESTS = 60;
  private static final int MAX_PROMPT_TOKENS = 2_000;
  private static final int MAX_OUTPUT_TOKENS = 40;

  @Property(seed = "4711", tries = 60)
  void invariantsHoldAndEveryFrameIsNumberedInOrder(@ForAll long seed) {
    EngineSimulation run = randomRun(seed, true);
    for (int i = 0; i < REQUESTS; i++) {
      List<EngineFrame> frames = run.frames("r" + i);
      for (int sequence = 0; sequence < frames.size(); sequence++) {
        assertThat(frames.get(sequence).sequence()).isEqualTo(sequence);
      }
    }
  }

  @Property(seed = "4712", tries = 40)
  void withoutFaultsEveryAnswerIsCompleteAndPrefillAddsUp(@ForAll long seed) {
    EngineSimulation run = randomRun(seed, false);
    long prefillTokens = 0;
    for (int i = 0; i < REQUESTS; i++) {
      List<EngineFrame> frames = run.frames("r" + i);
      EngineFrame end = frames.get(frames.size() - 1);
      int tokens = frames.stream().mapToInt(EngineFrame::tokens).sum();
      assertThat(end.usage().orElseThrow().outputTokens()).isEqualTo(tokens);
      prefillTokens += end.usage().get().promptTokens() - end.usage().get().cachedTokens();
    }
    EngineCounters counters = run.model().counters();
    assertThat(counters.completed()).isEqualTo(REQUESTS);
    assertThat(counters.prefillTokens()).isEqualTo(prefillTokens);
    assertThat(counters.discardedPrefillTokens()).isZero();
  }

  @Property(seed = "4713", tries = 10)
  void equalHistoriesGiveEqualActions(@ForAll long seed) {
    assertThat(randomRun(seed, true).timedActions())
        .isEqualTo(randomRun(seed, true).timedActions());
  }

  @Property(seed = "4714", tries = 100)
  void framesOfSeveralTokensCoverTheAnswer(
      @ForAll @IntRange(min = 1, max = 9) int tokensPerFrame,
      @ForAll @IntRange(min = 1, max = 50) int maxTokens) {
    EngineStream stream =
        new EngineStream(EngineSimulation.request("a", 5, 0, maxTokens), tokensPerFrame);
    int covered = 0;
    for (int tokens = 1; tokens < maxTokens; tokens++) {
      covered += stream.tokens(tokens).map(EngineFrame::tokens).orElse(0);
    }
    for (EngineFrame last : stream.finish(new Usage(5, 0, maxTokens))) {
      covered += last.tokens();
    }
    assertThat(covered).isEqualTo(maxTokens);
  }

  private static EngineSimulation randomRun(long seed, boolean faults) {
    SplittableRandom random = new SplittableRandom(seed);
    EngineSimulation run = new EngineSimulation(EngineSimulation.settings());
    double atMs = 0;
    for (int i = 0; i < REQUESTS; i++) {
      int promptTokens = 1 + random.nextInt(MAX_PROMPT_TOKENS);
      int maxTokens = 1 + random.nextInt(MAX_OUTPUT_TOKENS);
      run.submit("r" + i, promptTokens, 100L * random.nextInt(3), maxTokens);
      if (faults) {
        fault(run, random, i);
      }
      atMs += random.nextInt(400);
      run.advanceToMs(atMs);
    }
    return run.advanceToMs(atMs + 60_000);
  }

  private static void fault(EngineSimulation run, SplittableRandom random, int i) {
    RequestId target = new RequestId("r" + random.nextInt(i + 1));
    switch (random.nextInt(12)) {
      case 0, 1 -> run.handleNow(new EngineEvent.Cancel(target));
      case 2 -> run.handleNow(new EngineEvent.SetStragglerFactor(1 + 3 * random.nextDouble()));
      case 3 -> run.handleNow(new EngineEvent.ExportKv(target));
      case 4 -> {
        run.handleNow(new EngineEvent.Crash());
        run.handleNow(new EngineEvent.Restart(new Incarnation(i + 2)));
      }
      default -> run.handleNow(new EngineEvent.Tick());
    }
  }
}
