package org.teaseltrail.entry;

import static org.assertj.core.api.Assertions.assertThat;

import java.io.BufferedReader;
import java.io.IOException;
import java.io.InputStream;
import java.io.InputStreamReader;
import java.net.http.HttpResponse;
import java.nio.charset.StandardCharsets;
import java.util.List;
import java.util.concurrent.CompletableFuture;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.Test;

class EntryFlowTest {

  private static final String QUESTION =
      "{\"model\":\"tutor-llm\",\"prompt\":\"When is recess?\",\"max_tokens\":8}";
  private static final int LONG_FRAMES = 64_000;

  private final EntryWorld world = new EntryWorld();

  @AfterEach
  void close() {
    world.engine.release();
    world.close();
  }

  private static List<String> eventIds(HttpResponse<InputStream> answer) throws IOException {
    try (BufferedReader lines =
        new BufferedReader(new InputStreamReader(answer.body(), StandardCharsets.UTF_8))) {
      return lines.lines().filter(line -> line.matches("id: .*|.*\"outcome\":.*")).toList();
    }
  }

  // A caller opens a long answer (64 MB) and reads nothing. The engine must not be read to the end
  // into the VM's memory, and other callers are served; when the caller reads on, it gets it whole.
  @Test
  void slowCallerHoldsUpNeitherOthersNorMemory() throws IOException {
    world.engine.frames = LONG_FRAMES;
    world.engine.padding = "x".repeat(1_000);
    final HttpResponse<InputStream> slow = world.open(QUESTION);
    world.engine.frames = 3;
    for (int others = 0; others < 200; others++) {
      assertThat(world.generate(QUESTION).statusCode()).isEqualTo(200);
      assertThat(world.engine.linesMade.get()).isLessThan(LONG_FRAMES);
    }

    List<String> ids = eventIds(slow);
    assertThat(ids).hasSize(LONG_FRAMES + 1);
    assertThat(ids.get(LONG_FRAMES - 1)).isEqualTo("id: " + (LONG_FRAMES - 1));
    assertThat(ids.get(LONG_FRAMES)).contains("\"outcome\":\"completed\"");
  }

  // A volunteer closes the page in mid-answer. The engine is told to stop, or it would go on
  // generating for no one.
  @Test
  void engineIsToldThatCallerIsGone() throws IOException {
    world.engine.holdAfterFrames = 1;
    HttpResponse<InputStream> answer = world.open(QUESTION);
    assertThat(answer.body().read()).isEqualTo('e');
    answer.body().close();

    world.await(() -> world.engine.count("DELETE") == 1);
  }

  // The VM is asked to shut down while an answer streams. The listener closes, and the caller still
  // gets the rest and the outcome; only then does the process end.
  @Test
  void shutdownLetsRunningAnswerFinish() throws IOException {
    world.engine.holdAfterFrames = 1;
    final HttpResponse<InputStream> answer = world.open(QUESTION);
    CompletableFuture<Void> closed = CompletableFuture.runAsync(world.entry::close);
    world.awaitListenerClosed();
    assertThat(closed).isNotDone();

    world.engine.release();
    assertThat(eventIds(answer)).hasSize(4).last().asString().contains("\"completed\"");
    closed.join();
    assertThat(world.engine.count("GET")).isZero();
  }
}
