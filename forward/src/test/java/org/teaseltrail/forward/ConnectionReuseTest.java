package org.teaseltrail.forward;

import static org.assertj.core.api.Assertions.assertThat;

import io.netty.handler.codec.http.HttpMethod;
import java.nio.charset.StandardCharsets;
import java.util.List;
import java.util.Optional;
import java.util.Random;
import org.junit.jupiter.api.Test;
import org.teaseltrail.forward.AnswerText.Framing;
import org.teaseltrail.forward.AnswerText.Status;

/** Answers in order, after which the next request must be served as before. */
class ConnectionReuseTest {

  private static final String TARGET = "upstream";
  private static final byte[] NOTHING = {};
  private static final String NO_CONTENT = "HTTP/1.1 204 No Content\r\n";

  private final UpstreamConnectionPool<String> pool =
      new UpstreamConnectionPool<>(
          null, new FakeHeaderCodec(), new UpstreamConnectionListener<String>() {});
  private final ScriptedConnection connection = new ScriptedConnection(pool, new Random(1), 1_000);

  ConnectionReuseTest() {
    pool.adopt(TARGET, connection.connection());
  }

  /** Guards against requests that break since their upstream names none of its answers. */
  @Test
  void requestDoesNotBreakWhereUpstreamNamesNoAnswer() {
    ReceivedAnswer first = send(HttpMethod.GET, "first");
    connection.answer(unnamed().bytes(), NOTHING);
    assertThat(first.whole()).isPresent();
    Optional<UpstreamConnection> reused = pool.takeIdle(TARGET, "second");
    reused.ifPresent(
        taken -> {
          ReceivedAnswer second = new ReceivedAnswer("second", () -> {});
          connection.send(HttpMethod.GET, second);
          connection.answer(unnamed().bytes(), NOTHING);
          assertThat(second.whole()).isPresent();
        });
  }

  /** Guards against a new connection for each request whose answer has no body by its status. */
  @Test
  void connectionIsReusedAfterAnswerWithoutContent() {
    send(HttpMethod.GET, "first");
    connection.answer(ascii(NO_CONTENT + name("first") + "\r\n"), NOTHING);
    assertThat(pool.takeIdle(TARGET, "second")).isPresent();
  }

  /** Guards against the same for an answer that refers to a copy of the caller's. */
  @Test
  void connectionIsReusedAfterAnswerNotModified() {
    send(HttpMethod.GET, "first");
    connection.answer(ascii("HTTP/1.1 304 Not Modified\r\n" + name("first") + "\r\n"), NOTHING);
    assertThat(pool.takeIdle(TARGET, "second")).isPresent();
  }

  /** Guards against an attempt that breaks since a header quotes a line of a log. */
  @Test
  void headerThatQuotesStatusLineBreaksNoAttempt() {
    ReceivedAnswer first = send(HttpMethod.GET, "first");
    connection.answer(
        ascii(
            "HTTP/1.1 200 OK\r\nX-Upstream: GET /x HTTP/1.1 200\r\n"
                + name("first")
                + "Content-Length: 0\r\n\r\n"),
        NOTHING);
    assertThat(first.whole()).isPresent();
  }

  private ReceivedAnswer send(HttpMethod method, String id) {
    assertThat(pool.takeIdle(TARGET, id)).containsSame(connection.connection());
    ReceivedAnswer received = new ReceivedAnswer(id, () -> {});
    connection.send(method, received);
    return received;
  }

  private static AnswerText answer(Status status, String id) {
    return new AnswerText(status, List.of(id), "of " + id, Framing.LENGTH, true);
  }

  private static AnswerText unnamed() {
    return new AnswerText(Status.SUCCESS, List.of(), "x", Framing.LENGTH, true);
  }

  private static String name(String id) {
    return FakeHeaderCodec.REQUEST_ID + ": " + id + "\r\n";
  }

  private static byte[] ascii(String text) {
    return text.getBytes(StandardCharsets.ISO_8859_1);
  }
}
