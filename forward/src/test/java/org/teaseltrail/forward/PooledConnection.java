package org.teaseltrail.forward;

import static org.assertj.core.api.Assertions.assertThat;

import io.netty.handler.codec.http.HttpMethod;
import java.nio.charset.StandardCharsets;
import java.util.List;
import java.util.Optional;
import java.util.Random;
import org.teaseltrail.forward.AnswerText.Framing;
import org.teaseltrail.forward.AnswerText.Status;

/** A pool with one connection, whose upstream's bytes a test writes. */
final class PooledConnection {

  static final byte[] NOTHING = {};

  private static final String TARGET = "upstream";

  private final UpstreamConnectionPool<String> pool =
      new UpstreamConnectionPool<>(
          null, new FakeHeaderCodec(), new UpstreamConnectionListener<String>() {});
  private final ScriptedConnection connection = openAnother();

  PooledConnection() {
    pool.adopt(TARGET, connection.connection());
  }

  ScriptedConnection connection() {
    return connection;
  }

  /** Opens a connection that isn't in the pool. */
  ScriptedConnection openAnother() {
    return new ScriptedConnection(pool, new Random(1), 1_000);
  }

  Optional<UpstreamConnection> takeIdle(String id) {
    return pool.takeIdle(TARGET, id);
  }

  /** Sends a request on the connection, which must be idle. */
  ReceivedAnswer send(HttpMethod method, String id) {
    assertThat(takeIdle(id)).containsSame(connection.connection());
    ReceivedAnswer received = new ReceivedAnswer(id, () -> {});
    connection.send(method, received);
    return received;
  }

  /** Sends a request and answers it. */
  void serve(String id) {
    ReceivedAnswer received = send(HttpMethod.GET, id);
    AnswerText own = answer(Status.SUCCESS, id);
    connection.answer(own.bytes(), NOTHING);
    assertThat(received.whole()).contains(own.received());
  }

  static AnswerText answer(Status status, String id) {
    return new AnswerText(status, List.of(id), "of " + id, Framing.LENGTH, true);
  }

  /** Returns the header by which an answer names its request. */
  static String name(String id) {
    return FakeHeaderCodec.REQUEST_ID + ": " + id + "\r\n";
  }

  static byte[] ascii(String text) {
    return text.getBytes(StandardCharsets.ISO_8859_1);
  }
}
