package org.teaseltrail.forward;

import static org.assertj.core.api.Assertions.assertThat;

import io.netty.handler.codec.http.HttpMethod;
import java.nio.charset.StandardCharsets;
import java.util.List;
import java.util.Random;
import org.junit.jupiter.api.Test;
import org.teaseltrail.forward.AnswerText.Framing;
import org.teaseltrail.forward.AnswerText.Status;

/** Second answers that are skipped, and have no end of their own. */
class SkippedAnswerTest {

  private static final String TARGET = "upstream";
  private static final byte[] NOTHING = {};

  private final UpstreamConnectionPool<String> pool =
      new UpstreamConnectionPool<>(
          null, new FakeHeaderCodec(), new UpstreamConnectionListener<String>() {});
  private final ScriptedConnection connection = new ScriptedConnection(pool, new Random(1), 1_000);

  SkippedAnswerTest() {
    pool.adopt(TARGET, connection.connection());
  }

  /** Guards against a request whose answer is read as the body of a skipped one without length. */
  @Test
  void requestEndsThoughSkippedAnswerHasNoLength() {
    serve("first");
    ReceivedAnswer second = send(HttpMethod.GET, "second");
    AnswerText late =
        new AnswerText(Status.SUCCESS, List.of("first"), "late", Framing.CONNECTION_END, true);
    connection.answer(late.bytes(), NOTHING);
    connection.answer(answer(Status.FAILURE, "second").bytes(), NOTHING);
    assertThat(second.hasEnded()).isTrue();
  }

  /** Guards against the same where a skipped answer breaks off within its body. */
  @Test
  void requestEndsThoughSkippedAnswerBreaksOffInItsBody() {
    serve("first");
    ReceivedAnswer second = send(HttpMethod.GET, "second");
    connection.answer(
        ascii("HTTP/1.1 200 OK\r\n" + name("first") + "Content-Length: 500\r\n\r\nhalf"), NOTHING);
    connection.answer(answer(Status.FAILURE, "second").bytes(), NOTHING);
    assertThat(second.hasEnded()).isTrue();
  }

  private void serve(String id) {
    ReceivedAnswer received = send(HttpMethod.GET, id);
    AnswerText own = answer(Status.SUCCESS, id);
    connection.answer(own.bytes(), NOTHING);
    assertThat(received.whole()).contains(own.received());
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

  private static String name(String id) {
    return FakeHeaderCodec.REQUEST_ID + ": " + id + "\r\n";
  }

  private static byte[] ascii(String text) {
    return text.getBytes(StandardCharsets.ISO_8859_1);
  }
}
