package org.teaseltrail.entry;

import static org.assertj.core.api.Assertions.assertThat;

import java.io.IOException;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.atomic.AtomicInteger;
import java.util.stream.Stream;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.Arguments;
import org.junit.jupiter.params.provider.MethodSource;
import org.junit.jupiter.params.provider.ValueSource;
import org.teaseltrail.entry.ScriptedUpstream.Connection;

/** What a caller gets when an engine answers badly, over real sockets. */
class EngineAnswerTest {

  private static final String REQUEST =
      "{\"model\":\"tutor-llm\",\"prompt\":\"When?\",\"max_tokens\":8,\"stream\":false}";
  private static final String OK = "HTTP/1.1 200 OK\r\n";
  private static final String LENGTH = "Content-Length: 1234\r\n\r\n";
  private static final String CHUNKED = "Transfer-Encoding: chunked\r\n\r\n";

  private static final int PART_BYTES = 64 * 1024;

  /** More than the buffers of both sockets and the longest line hold together. */
  private static final int MAX_PARTS = 512;

  private ScriptedUpstream engine;
  private EntryTestEnvironment world;

  @BeforeEach
  void open() throws IOException {
    engine = new ScriptedUpstream();
    world = new EntryTestEnvironment(engine.address(), 64_000);
  }

  @AfterEach
  void close() throws IOException {
    world.close();
    engine.close();
  }

  private RawCall call() throws IOException {
    return RawCall.post(world.entry.address().getPort(), "1.1", "/v1/generate", REQUEST).readAll();
  }

  private static String text(String stream, int sequence, String text) {
    return "{\"request_id\":\"%s\",\"seq\":%d,\"text\":\"%s\"}\n".formatted(stream, sequence, text);
  }

  private static String end(String stream, int sequence) {
    return ("{\"request_id\":\"%s\",\"seq\":%d,\"end\":true,\"usage\":{\"prompt_tokens\":1,"
            + "\"cached_tokens\":0,\"output_tokens\":1}}\n")
        .formatted(stream, sequence);
  }

  private static String stream(String requestHead) {
    return HttpText.header(requestHead, "X-Request-Id").orElseThrow();
  }

  /** Responds to the request by a script, and to each resumption with the rest of the stream. */
  private AtomicInteger respondWith(EngineScript script) {
    AtomicInteger resumes = new AtomicInteger();
    AtomicInteger calls = new AtomicInteger();
    String[] stream = new String[1];
    engine.respondWith(
        connection -> {
          String head = connection.readRequest();
          if (calls.getAndIncrement() == 0) {
            stream[0] = stream(head);
            script.answer(stream[0], connection);
            return;
          }
          resumes.incrementAndGet();
          boolean fromStart = head.contains("from=0 ");
          connection.send(
              OK + "\r\n" + (fromStart ? text(stream[0], 0, "own") : "") + end(stream[0], 1));
          connection.close();
        });
    return resumes;
  }

  /** Writes the first answer of an engine. */
  interface EngineScript {
    void answer(String stream, Connection connection) throws IOException;
  }

  static Stream<Arguments> partsOfHeads() {
    List<Arguments> cases = new ArrayList<>();
    for (String part :
        List.of(
            "",
            "HTTP/1.1 200",
            "HTTP/1.1 503 Not",
            OK,
            OK + "Content-Length: 12",
            OK + CHUNKED.strip())) {
      cases.add(Arguments.of(part, false));
      cases.add(Arguments.of(part, true));
    }
    return cases.stream();
  }

  /** Guards against a head that ended early and is taken for a refusal or for a whole stream. */
  @ParameterizedTest
  @MethodSource("partsOfHeads")
  void streamWhoseHeadEndedEarlyIsResumed(String part, boolean reset) throws IOException {
    AtomicInteger resumes =
        respondWith(
            (stream, connection) -> {
              connection.send(part);
              if (reset) {
                connection.reset();
              } else {
                connection.close();
              }
            });
    try (RawCall call = call()) {
      assertThat(call.status()).as(call.text()).isEqualTo(200);
      assertThat(call.body().orElseThrow()).contains("\"text\":\"own\"");
    }
    assertThat(resumes).hasValue(1);
  }

  /** Guards against a part of a refusal that is reported as not run. */
  @ParameterizedTest
  @ValueSource(strings = {LENGTH, CHUNKED + "10\r\n"})
  void partOfRefusalIsNoRefusal(String framing) throws IOException {
    AtomicInteger resumes =
        respondWith(
            (stream, connection) -> {
              connection.send("HTTP/1.1 503 Full\r\n" + framing + "{\"not_run\":true}");
              connection.close();
            });
    try (RawCall call = call()) {
      assertThat(call.status()).as(call.text()).isEqualTo(200);
    }
    assertThat(resumes).hasValue(1);
  }

  /** Guards against a stream without its end mark that is delivered as whole. */
  @ParameterizedTest
  @ValueSource(strings = {LENGTH, "\r\n"})
  void partOfStreamIsResumed(String framing) throws IOException {
    AtomicInteger resumes =
        respondWith(
            (stream, connection) -> {
              connection.send(OK + framing + text(stream, 0, "own"));
              connection.close();
            });
    try (RawCall call = call()) {
      assertThat(call.body().orElseThrow()).contains("\"text\":\"own\"");
    }
    assertThat(resumes).hasValue(1);
  }

  /** Guards against frames of another request in a caller's answer. */
  @Test
  void framesOfAnotherRequestAreNotDelivered() throws IOException {
    AtomicInteger resumes =
        respondWith(
            (stream, connection) ->
                connection.send(OK + "\r\n" + text("other", 0, "foreign") + end("other", 1)));
    try (RawCall call = call()) {
      assertThat(call.body().orElseThrow()).contains("\"text\":\"own\"").doesNotContain("foreign");
    }
    assertThat(resumes).hasValue(1);
  }

  /** Guards against a resumption that is answered with another stream. */
  @Test
  void resumptionByAnotherStreamIsNotDelivered() throws IOException {
    AtomicInteger calls = new AtomicInteger();
    engine.respondWith(
        connection -> {
          String head = connection.readRequest();
          if (calls.getAndIncrement() == 0) {
            connection.send(OK + "\r\n" + text(stream(head), 0, "own"));
            connection.close();
          } else {
            connection.send(OK + "\r\n" + text("other", 1, "foreign") + end("other", 2));
          }
        });
    try (RawCall call = call()) {
      assertThat(call.status()).as(call.text()).isEqualTo(502);
      assertThat(call.text()).doesNotContain("foreign");
    }
    assertThat(calls).hasValueGreaterThan(2);
  }

  /** Guards against a second answer within a connection that is added to the stream. */
  @ParameterizedTest
  @ValueSource(
      strings = {"HTTP/1.1 503 Full\r\n\r\n{\"not_run\":true}\n", "HTTP/1.1 200 OK\r\n\r\n"})
  void secondAnswerIsNotAdded(String second) throws IOException {
    AtomicInteger resumes =
        respondWith(
            (stream, connection) -> {
              connection.send(
                  OK + "\r\n" + text(stream, 0, "own") + second + text(stream, 1, "again"));
              connection.send(end(stream, 2));
            });
    try (RawCall call = call()) {
      assertThat(call.body().orElseThrow()).contains("\"text\":\"own\"").doesNotContain("again");
    }
    assertThat(resumes).hasValue(1);
  }

  /** Guards against early answers that are taken for the stream's answer, or read without end. */
  @ParameterizedTest
  @ValueSource(ints = {2, 100_000})
  void earlyAnswersAreNotTheAnswer(int heads) throws IOException {
    AtomicInteger resumes =
        respondWith(
            (stream, connection) -> {
              for (int i = 0; i < heads; i++) {
                connection.send("HTTP/1.1 103 Early Hints\r\n\r\n");
              }
              connection.send(OK + "\r\n" + text(stream, 0, "own") + end(stream, 1));
            });
    try (RawCall call = call()) {
      assertThat(call.body().orElseThrow()).contains("\"text\":\"own\"");
    }
    assertThat(resumes).hasValue(heads == 2 ? 0 : 1);
  }

  /** Guards against a body without end that is held whole, whatever its length. */
  @ParameterizedTest
  @ValueSource(strings = {"200 OK", "503 Full", "404 Unknown", "500 Failed"})
  void bodyWithoutEndIsGivenUp(String status) throws IOException {
    AtomicInteger parts = new AtomicInteger();
    respondWith(
        (stream, connection) -> {
          connection.send("HTTP/1.1 " + status + "\r\n\r\n");
          String part = "x".repeat(PART_BYTES);
          while (parts.get() < MAX_PARTS) {
            connection.send(part);
            parts.incrementAndGet();
          }
          connection.close();
        });
    call().close();
    assertThat(parts).hasValueLessThan(MAX_PARTS);
  }
}
