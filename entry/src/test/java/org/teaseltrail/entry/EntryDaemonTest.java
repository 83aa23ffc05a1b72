package org.teaseltrail.entry;

import static org.assertj.core.api.Assertions.assertThat;

import java.net.http.HttpRequest;
import java.net.http.HttpResponse;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.Test;
import org.teaseltrail.core.message.EntryMessage;

class EntryDaemonTest {

  private static final String REQUEST_PREFIX =
      "{\"model\":\"tutor-llm\",\"prompt\":\"When is recess?\",\"max_tokens\":8";

  private final EntryTestEnvironment world = new EntryTestEnvironment();

  @AfterEach
  void close() {
    world.close();
  }

  @Test
  void streamsTokensFollowedByOutcome() {
    HttpResponse<String> answer = world.generate(REQUEST_PREFIX + "}");

    assertThat(answer.statusCode()).isEqualTo(200);
    assertThat(answer.headers().firstValue("content-type")).hasValue("text/event-stream");
    assertThat(answer.body())
        .startsWith("event: token\nid: 0\ndata: {\"seq\":0,\"text\":\"w0 \"}\n\n")
        .contains("id: 2\n")
        .endsWith("\"output_tokens\":3}}\n\n")
        .contains("event: outcome\n", "\"outcome\":\"completed\"", "\"ran\":\"yes\"");
    assertThat(world.engine.count("POST")).isEqualTo(1);
    assertThat(world.engine.count("GET")).isZero();
  }

  @Test
  void returnsNonStreamedResponse() {
    HttpResponse<String> answer = world.generate(REQUEST_PREFIX + ",\"stream\":false}");

    assertThat(answer.statusCode()).isEqualTo(200);
    assertThat(answer.body())
        .contains("\"text\":\"w0 w1 w2 \"", "\"outcome\":\"completed\"", "\"cached_tokens\":1");
    String id = answer.headers().firstValue("X-Request-Id").orElseThrow();
    HttpResponse<String> state =
        world.send(
            "/v1/requests/" + id,
            request -> request.header("Authorization", "Bearer " + EntryTestEnvironment.KEY));
    assertThat(state.body())
        .contains("\"state\":\"ended\"", "\"outcome\":\"completed\"", "tutor-llm-1");
    assertThat(world.send("/v1/requests/" + id, request -> request).statusCode()).isEqualTo(401);
  }

  // Guards against a truncated response when the connection to the engine breaks after two frames.
  // The rest is resumed over a new connection to the same engine, and nothing runs twice.
  @Test
  void resumesStreamAfterBrokenConnection() {
    world.engine.frames = 6;
    world.engine.disconnectAfterFrames = 2;

    HttpResponse<String> answer = world.generate(REQUEST_PREFIX + ",\"stream\":false}");

    assertThat(answer.body()).contains("\"text\":\"w0 w1 w2 w3 w4 w5 \"");
    assertThat(world.engine.count("POST")).isEqualTo(1);
    assertThat(world.engine.calls).anyMatch(call -> call.endsWith("from 2"));
  }

  @Test
  void reportsRefusedRequestAsNotRun() {
    world.engine.rejectsRequests = true;

    HttpResponse<String> answer = world.generate(REQUEST_PREFIX + "}");

    assertThat(answer.statusCode()).isEqualTo(503);
    assertThat(answer.headers().firstValue("Retry-After")).hasValue("1");
    assertThat(answer.body())
        .contains("urn:teaseltrail:problem:refused-by-upstream", "\"ran\":\"no\"");
    assertThat(world.engine.count("POST")).isEqualTo(1);
  }

  @Test
  void forwardsServiceCall() {
    HttpResponse<String> answer =
        world.send(
            "/v1/services/portal-app/certificates",
            request ->
                request
                    .header("Authorization", "Bearer " + EntryTestEnvironment.KEY)
                    .header("Idempotency-Key", "k-1")
                    .POST(HttpRequest.BodyPublishers.ofString("board")));

    assertThat(answer.statusCode()).isEqualTo(201);
    assertThat(answer.body()).isEqualTo("certificate:board");
    assertThat(answer.headers().firstValue("X-Certificate")).hasValue("7");
    assertThat(answer.headers().firstValue("X-Request-Id")).isPresent();
  }

  @Test
  void reportsRequestEndToScheduler() {
    world.generate(REQUEST_PREFIX + ",\"stream\":false}");
    world.entry.close();

    assertThat(world.control.heard(EntryMessage.Offer.class)).hasSize(1);
    assertThat(world.control.heard(EntryMessage.FirstToken.class)).hasSize(1);
    assertThat(world.control.heard(EntryMessage.Ended.class)).isNotEmpty();
  }
}
