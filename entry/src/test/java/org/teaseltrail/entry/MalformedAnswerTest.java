package org.teaseltrail.entry;

import static org.assertj.core.api.Assertions.assertThat;

import java.io.IOException;
import java.util.concurrent.atomic.AtomicInteger;
import org.junit.jupiter.api.AfterAll;
import org.junit.jupiter.api.BeforeAll;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.EnumSource;
import org.teaseltrail.testing.MalformedAnswer;

/** Services and engines whose answers break the grammar of HTTP, over real sockets. */
class MalformedAnswerTest {

  private static final String SERVICE_PATH = "/v1/services/portal-app/certificates";
  private static final String GENERATE =
      "{\"model\":\"tutor-llm\",\"prompt\":\"When?\",\"max_tokens\":8,\"stream\":false}";
  private static final String SUCCESS = "HTTP/1.1 200 OK";
  private static final String BODY = "body";

  private static ScriptedUpstream upstream;
  private static EntryTestEnvironment world;

  @BeforeAll
  static void open() throws IOException {
    upstream = new ScriptedUpstream();
    world = new EntryTestEnvironment(upstream.address(), 64_000);
  }

  @AfterAll
  static void close() throws IOException {
    world.close();
    upstream.close();
  }

  private static RawCall call(String path, String body) throws IOException {
    return RawCall.post(world.entry.address().getPort(), "1.1", path, body).readAll();
  }

  private static String frames(String stream, String text) {
    return ("{\"request_id\":\"%1$s\",\"seq\":0,\"text\":\"%2$s\"}\n"
            + "{\"request_id\":\"%1$s\",\"seq\":1,\"end\":true,\"usage\":{\"prompt_tokens\":1,"
            + "\"cached_tokens\":0,\"output_tokens\":1}}\n")
        .formatted(stream, text);
  }

  /** Responds to a request with a malformed answer, and to its resumption with the whole stream. */
  private static AtomicInteger respondWith(MalformedAnswer kind, String statusLine, String body) {
    AtomicInteger resumes = new AtomicInteger();
    String[] stream = new String[1];
    upstream.respondWith(
        connection -> {
          String head = connection.readRequest();
          if (stream[0] == null) {
            stream[0] = HttpText.header(head, "X-Request-Id").orElseThrow();
            connection.send(
                kind.text(statusLine, "", body.isEmpty() ? frames(stream[0], "broken") : body));
          } else {
            resumes.incrementAndGet();
            connection.send(SUCCESS + "\r\n\r\n" + frames(stream[0], "own"));
          }
          connection.close();
        });
    return resumes;
  }

  /** Guards against a caller that gets a malformed answer, or a part of one, as a whole answer. */
  @ParameterizedTest
  @EnumSource
  void malformedAnswerOfServiceIsNotForwarded(MalformedAnswer kind) throws IOException {
    upstream.respondWith(
        connection -> {
          connection.readRequest();
          connection.send(kind.text(SUCCESS, "", BODY));
          connection.close();
        });
    try (RawCall call = call(SERVICE_PATH, "")) {
      assertThat(call.text()).doesNotContain("Broken");
      assertThat(call.isWholeSuccess()).as(call.text()).isFalse();
      if (kind.isHeadMalformed()) {
        assertThat(call.status()).as(call.text()).isBetween(500, 599);
      }
    }
  }

  /** Guards against a stream of an engine that is read out of a malformed answer. */
  @ParameterizedTest
  @EnumSource(mode = EnumSource.Mode.MATCH_NONE, names = ".*CHUNK_.*|.*_TRAILER")
  void malformedStreamOfEngineIsResumed(MalformedAnswer kind) throws IOException {
    AtomicInteger resumes = respondWith(kind, SUCCESS, "");
    try (RawCall call = call("/v1/generate", GENERATE)) {
      assertThat(call.body())
          .as(call.text())
          .hasValueSatisfying(body -> assertThat(body).contains("\"own\""));
    }
    assertThat(resumes).hasValue(1);
  }

  /** Guards against a malformed refusal that is reported as not run. */
  @ParameterizedTest
  @EnumSource(
      mode = EnumSource.Mode.MATCH_NONE,
      names = "STATUS_.*|.*PROTOCOL.*|.*VERSION|.*STATUS_LINE|.*REASON.*")
  void malformedRefusalOfEngineIsNoRefusal(MalformedAnswer kind) throws IOException {
    AtomicInteger resumes = respondWith(kind, "HTTP/1.1 503 Full", "{\"not_run\":true}");
    try (RawCall call = call("/v1/generate", GENERATE)) {
      assertThat(call.body())
          .as(call.text())
          .hasValueSatisfying(body -> assertThat(body).contains("\"own\""));
    }
    assertThat(resumes).hasValue(1);
  }
}
