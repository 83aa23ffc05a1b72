package org.teaseltrail.entry;

import static org.assertj.core.api.Assertions.assertThat;

import java.io.BufferedReader;
import java.io.IOException;
import java.io.InputStream;
import java.io.InputStreamReader;
import java.net.http.HttpRequest;
import java.net.http.HttpResponse;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.CompletableFuture;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.Test;

class EntryFlowControlTest {

  private static final String REQUEST_BODY =
      "{\"model\":\"tutor-llm\",\"prompt\":\"When is recess?\",\"max_tokens\":8}";
  private static final int LONG_FRAMES = 24_000;
  private static final long LINES_PER_SHORT_RESPONSE = 4;

  private final EntryTestEnvironment world = new EntryTestEnvironment();
  private final List<InputStream> openStreams = new ArrayList<>();

  @AfterEach
  void close() throws IOException {
    for (InputStream unread : openStreams) {
      unread.close();
    }
    world.engine.resumePausedStreams();
    world.close();
  }

  private HttpResponse<InputStream> open() {
    HttpResponse<InputStream> answer = world.openStream(REQUEST_BODY);
    openStreams.add(answer.body());
    return answer;
  }

  private static List<String> eventIds(HttpResponse<InputStream> answer) throws IOException {
    try (BufferedReader lines =
        new BufferedReader(new InputStreamReader(answer.body(), StandardCharsets.UTF_8))) {
      return lines.lines().filter(EntryFlowControlTest::isIdOrOutcome).toList();
    }
  }

  private static boolean isIdOrOutcome(String line) {
    return line.startsWith("id: ") || line.contains("\"outcome\":");
  }

  // Guards against a memory leak: the calls of completed requests stayed registered and kept their
  // exchanges reachable. After some 30,000 responses the heap was full, the VM collected garbage
  // continuously and admitted no more requests.
  @Test
  void completedRequestReleasesItsUpstreamCall() {
    world.engine.frames = 3;
    assertThat(world.generate(REQUEST_BODY).statusCode()).isEqualTo(200);
    world.await(() -> metrics().contains("upstream_calls{program=\"teaseltrail-entry\"} 0.0"));
  }

  private String metrics() {
    return world.send("/metrics", HttpRequest.Builder::GET).body();
  }

  // A caller requests a long response (24 MB) and reads nothing. The VM must not buffer all of the
  // engine's stream, and must still serve other callers. Once the caller reads, it gets the
  // complete response.
  @Test
  void slowCallerNeitherDelaysOthersNorGrowsMemory() throws IOException {
    world.engine.frames = LONG_FRAMES;
    world.engine.padding = "x".repeat(1_000);
    final HttpResponse<InputStream> slow = open();
    world.engine.frames = 3;
    long made = -1;
    int unchanged = 0;
    for (int others = 1; unchanged < 30; others++) {
      assertThat(world.generate(REQUEST_BODY).statusCode()).isEqualTo(200);
      long before = made;
      made = world.engine.generatedLines.get() - others * LINES_PER_SHORT_RESPONSE;
      unchanged = made == before ? unchanged + 1 : 0;
    }
    assertThat(made).isLessThan(LONG_FRAMES);

    List<String> ids = eventIds(slow);
    assertThat(ids).hasSize(LONG_FRAMES + 1);
    assertThat(ids.get(LONG_FRAMES - 1)).isEqualTo("id: " + (LONG_FRAMES - 1));
    assertThat(ids.get(LONG_FRAMES)).contains("\"outcome\":\"completed\"");
  }

  // Guards against an engine that goes on generating after its caller has disconnected: the VM must
  // cancel the engine's stream.
  @Test
  void engineStreamIsCancelledWhenCallerDisconnects() throws IOException {
    world.engine.pauseAfterFrames = 1;
    HttpResponse<InputStream> answer = open();
    assertThat(answer.body().read()).isEqualTo('e');
    answer.body().close();

    world.await(() -> world.engine.count("DELETE") == 1);
  }

  // Guards against a shutdown that truncates a response being streamed. The listener closes, the
  // caller still gets the remaining frames and the outcome, and only then does the daemon end.
  @Test
  void shutdownWaitsForRunningResponse() throws IOException {
    world.engine.pauseAfterFrames = 1;
    final HttpResponse<InputStream> answer = open();
    CompletableFuture<Void> closed = CompletableFuture.runAsync(world.entry::close);
    world.awaitListenerClosed();
    assertThat(closed).isNotDone();

    world.engine.resumePausedStreams();
    assertThat(eventIds(answer)).hasSize(4).last().asString().contains("\"completed\"");
    closed.join();
    assertThat(world.engine.count("GET")).isZero();
  }
}
