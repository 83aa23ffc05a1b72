package org.teaseltrail.forward;

import static org.assertj.core.api.Assertions.assertThat;
import static org.teaseltrail.forward.PooledConnection.NOTHING;
import static org.teaseltrail.forward.PooledConnection.ascii;
import static org.teaseltrail.forward.PooledConnection.name;

import io.netty.handler.codec.http.HttpMethod;
import java.util.List;
import java.util.Optional;
import org.junit.jupiter.api.Test;
import org.teaseltrail.forward.AnswerText.Framing;
import org.teaseltrail.forward.AnswerText.Status;

/** Answers in order, after which the next request must be served as before. */
class ConnectionReuseTest {

  private static final String NO_CONTENT = "HTTP/1.1 204 No Content\r\n";

  private final PooledConnection pooled = new PooledConnection();
  private final ScriptedConnection connection = pooled.connection();

  /** Guards against requests that break since their upstream names none of its answers. */
  @Test
  void requestDoesNotBreakWhereUpstreamNamesNoAnswer() {
    ReceivedAnswer first = pooled.send(HttpMethod.GET, "first");
    connection.answer(unnamed().bytes(), NOTHING);
    assertThat(first.whole()).isPresent();
    Optional<UpstreamConnection> reused = pooled.takeIdle("second");
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
    pooled.send(HttpMethod.GET, "first");
    connection.answer(ascii(NO_CONTENT + name("first") + "\r\n"), NOTHING);
    assertThat(pooled.takeIdle("second")).isPresent();
  }

  /** Guards against the same for an answer that refers to a copy of the caller's. */
  @Test
  void connectionIsReusedAfterAnswerNotModified() {
    pooled.send(HttpMethod.GET, "first");
    connection.answer(ascii("HTTP/1.1 304 Not Modified\r\n" + name("first") + "\r\n"), NOTHING);
    assertThat(pooled.takeIdle("second")).isPresent();
  }

  /** Guards against an attempt that breaks since a header quotes a line of a log. */
  @Test
  void headerThatQuotesStatusLineBreaksNoAttempt() {
    ReceivedAnswer first = pooled.send(HttpMethod.GET, "first");
    connection.answer(
        ascii(
            "HTTP/1.1 200 OK\r\nX-Upstream: GET /x HTTP/1.1 200\r\n"
                + name("first")
                + "Content-Length: 0\r\n\r\n"),
        NOTHING);
    assertThat(first.whole()).isPresent();
  }

  private static AnswerText unnamed() {
    return new AnswerText(Status.SUCCESS, List.of(), "x", Framing.LENGTH, true);
  }
}
