package org.teaseltrail.forward;

import static org.assertj.core.api.Assertions.assertThat;
import static org.teaseltrail.forward.PooledConnection.NOTHING;
import static org.teaseltrail.forward.PooledConnection.answer;
import static org.teaseltrail.forward.PooledConnection.ascii;
import static org.teaseltrail.forward.PooledConnection.name;

import io.netty.handler.codec.http.HttpMethod;
import org.junit.jupiter.api.Test;
import org.teaseltrail.forward.AnswerText.Status;
import org.teaseltrail.forward.ScriptedConnection.End;

/** Second answers in the place of a part of a first one that broke off. */
class JoinedAnswerTest {

  private static final String NO_CONTENT = "HTTP/1.1 204 No Content\r\n";

  private final PooledConnection pooled = new PooledConnection();
  private final ScriptedConnection connection = pooled.connection();

  /** Guards against a second answer that is read as the trailers of a first one in chunks. */
  @Test
  void secondAnswerIsNoTrailer() {
    ReceivedAnswer first = pooled.send(HttpMethod.GET, "first");
    String head = "HTTP/1.1 200 OK\r\n" + name("first") + "Transfer-Encoding: chunked\r\n\r\n";
    connection.answer(ascii(head + "3\r\none\r\n0\r\n"), NOTHING);
    connection.answer(ascii("HTTP/1.1 500 No\r\nContent-Length: 0\r\n\r\n"), NOTHING);
    assertThat(first.whole()).isEmpty();
    assertThat(pooled.takeIdle("second")).isEmpty();
  }

  /** Guards against a second answer that fills up the chunk that a first one left unfinished. */
  @Test
  void secondAnswerIsNoPartOfChunk() {
    ReceivedAnswer first = pooled.send(HttpMethod.GET, "first");
    String second = "HTTP/1.1 500 No\r\n" + name("first") + "Content-Length: 0\r\n\r\n";
    String head = "HTTP/1.1 200 OK\r\n" + name("first") + "Transfer-Encoding: chunked\r\n\r\n";
    int size = 3 + second.length() - 2;
    connection.answer(ascii(head + Integer.toHexString(size) + "\r\none" + second), NOTHING);
    connection.end(End.CLOSE);
    assertThat(first.whole()).isEmpty();
  }

  /** Guards against the body of an answer that may have none, joined with the next status line. */
  @Test
  void bodyOfAnswerWithoutContentIsNotJoinedWithNextHead() {
    ReceivedAnswer first = pooled.send(HttpMethod.GET, "first");
    connection.answer(ascii(NO_CONTENT + name("first") + "Content-Length: 12\r\n\r\n"), NOTHING);
    assertThat(first.hasEnded()).isTrue();
    if (pooled.takeIdle("second").isPresent()) {
      ReceivedAnswer second = new ReceivedAnswer("second", () -> {});
      connection.send(HttpMethod.GET, second);
      connection.answer(ascii("HTTP/1.1 200"), NOTHING);
      connection.answer(answer(Status.FAILURE, "second").bytes(), NOTHING);
      assertThat(second.whole()).isEmpty();
      assertThat(second.hasEnded()).isTrue();
    }
  }

  /** Guards against the id of a head that broke off, with the body of an answer that names none. */
  @Test
  void cutHeadIsNotJoinedWithUnnamedAnswerOfItsStatus() {
    String head =
        "HTTP/1.1 200 OK\r\nServer: some\r\n" + name("first") + "Content-Length: 3\r\n\r\n";
    String unnamed = "HTTP/1.1 200 OK\r\nContent-Length: 3\r\n\r\ntwo";
    for (int bytes = 1; bytes < head.length(); bytes++) {
      ScriptedConnection cut = pooled.openAnother();
      ReceivedAnswer received = new ReceivedAnswer("first", () -> {});
      cut.send(HttpMethod.GET, received);
      cut.answer(ascii(head.substring(0, bytes) + unnamed), NOTHING);
      assertThat(received.whole()).as("cut after %s bytes", bytes).isEmpty();
    }
  }

  /** Guards against headers of a head that broke off, with those of the next answer. */
  @Test
  void cutHeadLeavesNothingInNextAnswerOfItsStatus() {
    String head = "HTTP/1.1 200 OK\r\n" + name("first") + "Content-Length: 3\r\n\r\n";
    String second = "HTTP/1.1 200 OK\r\n" + name("first") + "Content-Length: 2\r\n\r\nok";
    for (int bytes = 1; bytes < head.length(); bytes++) {
      ScriptedConnection cut = pooled.openAnother();
      ReceivedAnswer received = new ReceivedAnswer("first", () -> {});
      cut.send(HttpMethod.GET, received);
      cut.answer(ascii(head.substring(0, bytes) + second), NOTHING);
      assertThat(received.whole().stream())
          .as("cut after %s bytes", bytes)
          .allMatch(answer -> answer.endsWith(" ok"));
    }
  }
}
