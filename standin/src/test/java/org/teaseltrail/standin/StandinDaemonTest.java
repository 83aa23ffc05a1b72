package org.teaseltrail.standin;

import static org.assertj.core.api.Assertions.assertThat;
import static org.assertj.core.api.Assertions.assertThatThrownBy;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.ObjectMapper;
import java.io.IOException;
import java.net.ConnectException;
import java.net.Socket;
import java.net.URI;
import java.net.http.HttpClient;
import java.net.http.HttpRequest;
import java.net.http.HttpRequest.BodyPublishers;
import java.net.http.HttpResponse;
import java.net.http.HttpResponse.BodyHandlers;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.List;
import java.util.Map;
import java.util.concurrent.CompletableFuture;
import java.util.stream.Collectors;
import net.sourceforge.argparse4j.inf.Namespace;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.Timeout;
import org.junit.jupiter.api.io.TempDir;
import org.teaseltrail.runtime.process.ProgramException;
import org.teaseltrail.runtime.process.RunningProgram;
import org.teaseltrail.runtime.settings.InvalidSettingsException;
import org.teaseltrail.runtime.settings.SettingsReader;
import org.teaseltrail.standin.model.AnswerTextGenerator;
import org.teaseltrail.testing.FreePorts;

@Timeout(30)
class StandinDaemonTest {

  private static final ObjectMapper JSON = new ObjectMapper();
  private static final String ENGINE =
      """
      [engine]
      models = tutor:1:quiz
      step = 1ms
      step_per_sequence = 0ms
      prefill_per_token = 0ms
      """;
  private static final String SLOW_ENGINE = ENGINE.replace("step = 1ms", "step = 20ms");

  @TempDir private Path folder;

  private final FakeEntryVm entry = new FakeEntryVm("s3cret");
  private final HttpClient http = HttpClient.newHttpClient();
  private RunningProgram program;
  private int port;

  @AfterEach
  void stop() {
    if (program != null) {
      program.close();
    }
    entry.close();
  }

  @Test
  void streamsCompleteAnswerInNumberedFrames() throws Exception {
    start(ENGINE, "0ms");
    List<JsonNode> lines = lines(generate("r1", "who chairs the board", 5));
    assertThat(lines).hasSize(6);
    for (int i = 0; i < lines.size(); i++) {
      assertThat(lines.get(i).get("seq").asInt()).isEqualTo(i);
      assertThat(lines.get(i).get("request_id").asText()).isEqualTo("r1");
    }
    assertThat(text(lines))
        .isEqualTo(
            AnswerTextGenerator.text(AnswerTextGenerator.seedOf("who chairs the board"), 0, 5));
    JsonNode end = lines.get(5);
    assertThat(end.get("end").asBoolean()).isTrue();
    assertThat(end.get("usage").get("prompt_tokens").asInt()).isEqualTo(5);
    assertThat(end.get("usage").get("output_tokens").asInt()).isEqualTo(5);
  }

  @Test
  void endedStreamCanBeReadAgainFromAnyFrame() throws Exception {
    start(ENGINE, "0ms");
    List<JsonNode> complete = lines(generate("r1", "p", 5));
    assertThat(lines(get("/v1/streams/r1?from=3"))).isEqualTo(complete.subList(3, 6));
    assertThat(get("/v1/streams/other").statusCode()).isEqualTo(404);
    assertThat(get("/v1/streams/r1?from=x").statusCode()).isEqualTo(400);
  }

  @Test
  void knownIdUnknownModelAndMalformedBodyAreRefused() throws Exception {
    start(ENGINE, "0ms");
    generate("r1", "p", 1);
    assertThat(generate("r1", "p", 1).statusCode()).isEqualTo(409);
    HttpResponse<String> unknown = post("/v1/streams", body("r2", "p", 1).replace("tutor", "x"));
    assertThat(unknown.statusCode()).isEqualTo(503);
    assertThat(JSON.readTree(unknown.body()).get("not_run").asBoolean()).isTrue();
    for (String bad : List.of("{", "{}", "null", body("r3", "p", 0), body("r 4", "p", 1))) {
      assertThat(post("/v1/streams", bad).statusCode()).as(bad).isEqualTo(400);
    }
  }

  @Test
  void cancelledStreamEndsWithFailureLine() throws Exception {
    start(SLOW_ENGINE, "0ms");
    CompletableFuture<HttpResponse<String>> running = generateLater("r1", "p", 10_000);
    entry.nextAnnouncement(a -> a.get("load").get("running_requests").asInt() == 1);
    HttpRequest delete = HttpRequest.newBuilder(uri("/v1/streams/r1")).DELETE().build();
    assertThat(http.send(delete, BodyHandlers.ofString()).statusCode()).isEqualTo(204);
    List<JsonNode> lines = lines(running.get());
    assertThat(lines.get(lines.size() - 1).has("error")).isTrue();
  }

  @Test
  void announcesItselfWithItsSecret() throws Exception {
    start(ENGINE, "0ms");
    JsonNode first = entry.nextAnnouncement(a -> true);
    assertThat(first.get("upstream").asText()).isEqualTo("e1");
    assertThat(first.get("incarnation").asLong()).isEqualTo(7);
    assertThat(first.get("address").get("port").asInt()).isEqualTo(port);
    assertThat(first.get("phase").asText()).isEqualTo("SERVING");
    assertThat(first.get("models").get(0).get("adapters").get(0).asText()).isEqualTo("quiz");
    assertThat(first.has("service")).isFalse();
  }

  @Test
  void publishesCacheEventsAndExportsKvCache() throws Exception {
    start(ENGINE, "0ms");
    generate("r1", "x".repeat(2_100), 1);
    assertThat(entry.nextCacheEvent().get("stored_blocks")).hasSize(2);
    JsonNode exported = JSON.readTree(get("/v1/kv/r1").body());
    assertThat(exported.get("blocks")).hasSize(2);
    HttpRequest put =
        HttpRequest.newBuilder(uri("/v1/kv"))
            .PUT(BodyPublishers.ofString(exported.toString()))
            .build();
    assertThat(http.send(put, BodyHandlers.ofString()).statusCode()).isEqualTo(204);
  }

  @Test
  void orderWithAnOldFencingNumberIsRefused() throws Exception {
    start(ENGINE, "0ms");
    String order =
        "{\"order\":\"load_model\",\"model\":\"m\",\"version\":\"2\",\"fencing_number\":";
    assertThat(post("/v1/orders", order + "5}").statusCode()).isEqualTo(202);
    HttpResponse<String> refused = post("/v1/orders", order + "4}");
    assertThat(refused.statusCode()).isEqualTo(409);
    assertThat(JSON.readTree(refused.body()).get("fencing_number").asLong()).isEqualTo(5);
    assertThat(post("/v1/orders", "{\"order\":\"dance\",\"fencing_number\":9}").statusCode())
        .isEqualTo(400);
  }

  // An operator stops an engine's process during generation, which would truncate the caller's
  // response. The engine must announce that it is leaving, complete the stream, refuse later
  // requests as not run, and only then exit.
  @Test
  void gracefulShutdownCompletesStreamsAndRefusesNewRequests() throws Exception {
    start(SLOW_ENGINE, "300ms");
    final CompletableFuture<HttpResponse<String>> running = generateLater("r1", "p", 40);
    entry.nextAnnouncement(a -> a.get("load").get("running_requests").asInt() == 1);
    final CompletableFuture<Void> closed = CompletableFuture.runAsync(program::close);
    entry.nextAnnouncement(a -> a.get("phase").asText().equals("LEAVING"));
    HttpResponse<String> late = generate("r2", "p", 1);
    assertThat(late.statusCode()).isEqualTo(503);
    assertThat(JSON.readTree(late.body()).get("not_run").asBoolean()).isTrue();
    List<JsonNode> lines = lines(running.get());
    assertThat(lines).hasSize(41);
    assertThat(lines.get(40).get("end").asBoolean()).isTrue();
    closed.get();
    assertThatThrownBy(() -> new Socket("127.0.0.1", port).close())
        .isInstanceOf(ConnectException.class);
    assertThatThrownBy(() -> get("/admin/counters")).isInstanceOf(IOException.class);
  }

  @Test
  void countersShowTheWorkByRequest() throws Exception {
    start(ENGINE, "0ms");
    generate("r1", "x".repeat(40), 2);
    assertThat(post("/admin/straggle?factor=2", "").statusCode()).isEqualTo(202);
    assertThat(post("/admin/straggle?factor=-1", "").statusCode()).isEqualTo(400);
    JsonNode counters = JSON.readTree(get("/admin/counters").body());
    assertThat(counters.get("totals").get("prefill_tokens").asLong()).isEqualTo(10);
    assertThat(counters.get("requests").get("r1").get("executions").asInt()).isEqualTo(1);
  }

  @Test
  void plainServiceCountsEachRun() throws Exception {
    start("[service]\nname = portal-app\nmedian = 1ms\n", "0ms");
    assertThat(entry.nextAnnouncement(a -> true).get("service").asText()).isEqualTo("portal-app");
    JsonNode first = JSON.readTree(call("r1").body());
    assertThat(first.get("execution").asInt()).isEqualTo(1);
    assertThat(first.get("path").asText()).isEqualTo("/certificates?of=ada");
    assertThat(JSON.readTree(call("r1").body()).get("execution").asInt()).isEqualTo(2);
    JsonNode counters = JSON.readTree(get("/admin/counters").body());
    assertThat(counters.get("executions").get("r1").asInt()).isEqualTo(2);
  }

  @Test
  void settingsOfBothRolesOrOfNoneAreRefused() {
    assertThatThrownBy(() -> start("", "0ms")).isInstanceOf(ProgramException.class);
    assertThatThrownBy(() -> start(ENGINE + "[service]\nname = p\n", "0ms"))
        .isInstanceOf(ProgramException.class);
  }

  private void start(String role, String leaveGrace)
      throws IOException, InvalidSettingsException, ProgramException {
    port = FreePorts.nextAddress().getPort();
    Path secret = Files.writeString(folder.resolve("secret"), "s3cret\n");
    Path file = folder.resolve("standin.ini");
    String common =
        """
        [upstream]
        id = e1
        listen = 127.0.0.1:%d
        data_center = regina-a
        entries = 127.0.0.1:%d
        secret_file = %s
        incarnation = 7
        leave_grace = %s
        [reports]
        announce_interval = 20ms
        load_lag = 0ms
        cache_event_interval = 10ms
        cache_event_lag = 10ms
        cache_event_gap_rate = 0
        """
            .formatted(port, entry.port(), secret, leaveGrace);
    Files.writeString(file, common + role);
    StandinProgram standin = new StandinProgram();
    program = standin.start(new SettingsReader(standin.spec()).read(file), new Namespace(Map.of()));
  }

  private HttpResponse<String> generate(String id, String prompt, int maxTokens)
      throws IOException, InterruptedException {
    return post("/v1/streams", body(id, prompt, maxTokens));
  }

  private CompletableFuture<HttpResponse<String>> generateLater(
      String id, String prompt, int maxTokens) {
    HttpRequest request =
        HttpRequest.newBuilder(uri("/v1/streams"))
            .POST(BodyPublishers.ofString(body(id, prompt, maxTokens)))
            .build();
    return http.sendAsync(request, BodyHandlers.ofString());
  }

  private HttpResponse<String> call(String id) throws IOException, InterruptedException {
    HttpRequest request =
        HttpRequest.newBuilder(uri("/certificates?of=ada"))
            .header("X-Request-Id", id)
            .POST(BodyPublishers.ofString("certificate"))
            .build();
    return http.send(request, BodyHandlers.ofString());
  }

  private HttpResponse<String> post(String path, String body)
      throws IOException, InterruptedException {
    HttpRequest request =
        HttpRequest.newBuilder(uri(path)).POST(BodyPublishers.ofString(body)).build();
    return http.send(request, BodyHandlers.ofString());
  }

  private HttpResponse<String> get(String path) throws IOException, InterruptedException {
    return http.send(HttpRequest.newBuilder(uri(path)).build(), BodyHandlers.ofString());
  }

  private URI uri(String path) {
    return URI.create("http://127.0.0.1:" + port + path);
  }

  private static String body(String id, String prompt, int maxTokens) {
    String form = "{'request_id':'%s','model':'tutor','version':'1','prompt':'%s','max_tokens':%d}";
    return form.formatted(id, prompt, maxTokens).replace('\'', '"');
  }

  private static List<JsonNode> lines(HttpResponse<String> response) {
    assertThat(response.statusCode()).isEqualTo(200);
    return response.body().lines().map(StandinDaemonTest::read).toList();
  }

  private static JsonNode read(String line) {
    try {
      return JSON.readTree(line);
    } catch (IOException failure) {
      throw new AssertionError(failure);
    }
  }

  private static String text(List<JsonNode> lines) {
    return lines.stream()
        .filter(line -> line.has("text"))
        .map(line -> line.get("text").asText())
        .collect(Collectors.joining());
  }
}
