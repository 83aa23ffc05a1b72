package org.teaseltrail.entry;

import static org.assertj.core.api.Assertions.assertThat;

import java.io.IOException;
import java.io.OutputStream;
import java.net.Socket;
import java.net.http.HttpRequest;
import java.net.http.HttpResponse;
import java.nio.charset.StandardCharsets;
import org.junit.jupiter.api.AfterAll;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeAll;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;
import org.teaseltrail.core.message.EntryMessage;

class EntryBadInputTest {

  private static final String REQUEST_PREFIX =
      "{\"model\":\"tutor-llm\",\"prompt\":\"When?\",\"max_tokens\":8,\"stream\":false";

  private static EntryTestEnvironment world;

  @BeforeAll
  static void open() {
    world = new EntryTestEnvironment();
  }

  @AfterAll
  static void close() {
    world.close();
  }

  /** Checks that the same process still serves requests after each invalid input. */
  @AfterEach
  void assertStillServing() {
    assertThat(world.generate(REQUEST_PREFIX + "}").statusCode()).isEqualTo(200);
  }

  private static void assertProblem(HttpResponse<String> answer, int status, String name) {
    assertThat(answer.statusCode()).isEqualTo(status);
    assertThat(answer.headers().firstValue("Content-Type")).hasValue("application/problem+json");
    assertThat(answer.body())
        .contains("\"type\":\"urn:teaseltrail:problem:" + name + "\"", "\"ran\":\"no\"");
  }

  @ParameterizedTest
  @ValueSource(
      strings = {
        "",
        "{",
        "[]",
        "nonsense",
        "{}",
        "{\"model\":7,\"prompt\":\"p\",\"max_tokens\":1}",
        "{\"model\":\"\",\"prompt\":\"p\",\"max_tokens\":1}",
        "{\"model\":\"m\",\"prompt\":[],\"max_tokens\":1}",
        "{\"model\":\"m\",\"prompt\":\"p\"}",
        "{\"model\":\"m\",\"prompt\":\"p\",\"max_tokens\":0}",
        "{\"model\":\"m\",\"prompt\":\"p\",\"max_tokens\":1.5}",
        "{\"model\":\"m\",\"prompt\":\"p\",\"max_tokens\":99999999999999999999}",
        "{\"model\":\"m\",\"prompt\":\"p\",\"max_tokens\":1,\"stream\":\"yes\"}",
        "{\"model\":\"m\",\"prompt\":\"p\",\"max_tokens\":1,\"deadline_ms\":-1}",
        "{\"model\":\"m\",\"prompt\":\"p\",\"max_tokens\":1,\"idempotence\":false}",
        "{\"model\":\"m\",\"model\":\"n\",\"prompt\":\"p\",\"max_tokens\":1}",
        "{\"model\":\"m\",\"prompt\":\"p\",\"max_tokens\":1} {}"
      })
  void malformedBodyIsRefused(String body) {
    assertProblem(world.generate(body), 400, "malformed-request");
  }

  @Test
  void deeplyNestedBodyIsRefused() {
    assertProblem(world.generate("[".repeat(30_000)), 400, "malformed-request");
  }

  @Test
  void unknownModelIsRefused() {
    assertProblem(
        world.generate("{\"model\":\"other\",\"prompt\":\"p\",\"max_tokens\":1}"),
        404,
        "unknown-model");
  }

  @Test
  void oversizePromptIsRefused() {
    String prompt = "x".repeat(8_001);
    assertProblem(
        world.generate("{\"model\":\"tutor-llm\",\"prompt\":\"" + prompt + "\",\"max_tokens\":1}"),
        413,
        "prompt-too-large");
  }

  // Guards against a response that is lost because the connection is reset while the caller still
  // sends the body.
  @Test
  void oversizeBodyIsRefused() {
    assertProblem(world.generate("x".repeat(64_001)), 413, "body-too-large");
  }

  // A caller sends an endless chunked body without a declared length; the VM must not buffer all of
  // it.
  @Test
  void endlessBodyIsRefused() throws IOException {
    String head = "POST /v1/generate HTTP/1.1\r\nHost: vm\r\nTransfer-Encoding: chunked\r\n\r\n";
    String chunk = "4000\r\n" + "x".repeat(0x4000) + "\r\n";
    try (Socket socket = new Socket("127.0.0.1", world.entry.address().getPort())) {
      OutputStream out = socket.getOutputStream();
      out.write((head + chunk.repeat(4)).getBytes(StandardCharsets.US_ASCII));
      out.flush();
      byte[] answer = socket.getInputStream().readNBytes(12);
      assertThat(new String(answer, StandardCharsets.US_ASCII)).isEqualTo("HTTP/1.1 413");
    }
  }

  @Test
  void oversizeHeadersAreRefused() {
    assertProblem(
        world.generate(REQUEST_PREFIX + "}", "X-Padding", "x".repeat(5_000)),
        431,
        "headers-too-large");
  }

  @Test
  void missingOrUnknownKeyIsRefused() {
    for (String key : new String[] {"Bearer wrong", "Bearer ", "Basic Z29waGVy", "Bearer"}) {
      HttpResponse<String> answer =
          world.send(
              "/v1/generate",
              request ->
                  request
                      .header("Authorization", key)
                      .POST(HttpRequest.BodyPublishers.ofString(REQUEST_PREFIX + "}")));
      assertProblem(answer, 401, "unauthenticated");
    }
    assertProblem(
        world.send(
            "/v1/generate",
            request -> request.POST(HttpRequest.BodyPublishers.ofString(REQUEST_PREFIX + "}"))),
        401,
        "unauthenticated");
  }

  @Test
  void nonIdempotentWithoutKeyIsRefused() {
    assertProblem(world.generate(REQUEST_PREFIX + ",\"idempotent\":false}"), 400, "key-required");
    assertProblem(
        world.send(
            "/v1/services/portal-app/certificates",
            request ->
                request
                    .header("Authorization", "Bearer " + EntryTestEnvironment.KEY)
                    .POST(HttpRequest.BodyPublishers.noBody())),
        400,
        "key-required");
  }

  @Test
  void malformedHeadersAreRefused() {
    assertProblem(
        world.generate(REQUEST_PREFIX + "}", "Idempotency-Key", "two words"),
        400,
        "malformed-request");
    assertProblem(
        world.generate(REQUEST_PREFIX.replace("false", "true") + "}", "Last-Event-ID", "last"),
        400,
        "malformed-request");
  }

  @Test
  void unknownPathMethodServiceAndRequestAreRefused() {
    assertProblem(world.send("/nothing", request -> request), 404, "unknown-path");
    assertProblem(world.send("/v1/generate", request -> request), 405, "method-not-allowed");
    assertProblem(
        world.send(
            "/v1/services/other/x",
            request -> request.header("Authorization", "Bearer " + EntryTestEnvironment.KEY)),
        404,
        "unknown-service");
    assertProblem(
        world.send(
            "/v1/requests/r-1",
            request -> request.header("Authorization", "Bearer " + EntryTestEnvironment.KEY)),
        404,
        "unknown-request");
  }

  @Test
  void malformedHttpIsRejected() throws IOException {
    try (Socket socket = new Socket("127.0.0.1", world.entry.address().getPort())) {
      socket.getOutputStream().write("\0\1nonsense\r\n\r\n".getBytes(StandardCharsets.US_ASCII));
      byte[] answer = socket.getInputStream().readNBytes(12);
      assertThat(new String(answer, StandardCharsets.US_ASCII)).isEqualTo("HTTP/1.1 400");
    }
  }

  @Test
  void announcementRequiresUpstreamSecret() {
    String body =
        "{\"upstream\":\"tutor-llm-1\",\"incarnation\":1,\"sequence\":1,"
            + "\"address\":{\"host\":\"127.0.0.1\",\"port\":9000},\"data_center\":\"regina-a\","
            + "\"role\":\"generate\",\"phase\":\"serving\",\"models\":[{\"model\":\"tutor-llm\","
            + "\"version\":\"1\",\"adapters\":[]}],\"service\":null,\"max_batch\":8,"
            + "\"cache_tokens\":1000,\"load\":{\"running_requests\":0,\"queued_requests\":0,"
            + "\"queued_prefill_tokens\":0,\"step_ms\":4.0,\"cache_used_fraction\":0.5,"
            + "\"age_ms\":100},\"lifetime_ms\":3000}";
    String other = body.replace("tutor-llm-1", "tutor-llm-2");

    assertThat(announce("tutor-llm-1", EntryTestEnvironment.SECRET, body)).isEqualTo(204);
    assertThat(announce("tutor-llm-1", "wrong", body)).isEqualTo(401);
    assertThat(announce("tutor-llm-2", EntryTestEnvironment.SECRET, other)).isEqualTo(403);
    assertThat(announce("tutor-llm-2", EntryTestEnvironment.SECRET, body)).isEqualTo(400);
    assertThat(announce("tutor-llm-1", EntryTestEnvironment.SECRET, "{}")).isEqualTo(400);
    assertThat(world.control.heard(EntryMessage.UpstreamSeen.class)).hasSize(1);
  }

  private static int announce(String upstream, String secret, String body) {
    return world
        .send(
            "/v1/upstreams/announce",
            request ->
                request
                    .header("X-Upstream-Id", upstream)
                    .header("X-Upstream-Secret", secret)
                    .POST(HttpRequest.BodyPublishers.ofString(body)))
        .statusCode();
  }
}
