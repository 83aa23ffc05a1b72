package org.teaseltrail.forward;

import static org.assertj.core.api.Assertions.assertThat;
import static org.teaseltrail.forward.PooledConnection.NOTHING;
import static org.teaseltrail.forward.PooledConnection.answer;
import static org.teaseltrail.forward.PooledConnection.ascii;

import io.netty.handler.codec.http.HttpMethod;
import java.util.List;
import java.util.Optional;
import org.junit.jupiter.api.Test;
import org.teaseltrail.forward.AnswerText.Framing;
import org.teaseltrail.forward.AnswerText.Status;
import org.teaseltrail.forward.ScriptedConnection.End;

/** Answers whose bytes can be taken for those of another answer, or for none. */
class UnusualAnswerTest {

  private final PooledConnection pooled = new PooledConnection();
  private final ScriptedConnection connection = pooled.connection();

  /** Guards against a status line that is joined with the head of a later answer. */
  @Test
  void startOfHeadThatArrivesUnaskedIsNotJoinedWithNextAnswer() {
    pooled.serve("first");
    connection.writeUnasked(ascii("HTTP/1.1 200 O"));
    assertThat(connection.isOpen()).isFalse();
    assertThat(pooled.takeIdle("second")).isEmpty();
  }

  /** Guards against connections that are given up for line ends between two answers. */
  @Test
  void lineEndsBehindAnswerAreNoStartOfNextOne() {
    pooled.serve("first");
    connection.writeUnasked(ascii("\r\n"));
    assertThat(pooled.takeIdle("second")).isPresent();
  }

  /** Guards against whole lines of a head that a decoder has taken without a trace. */
  @Test
  void linesOfHeadThatArriveUnaskedAreNotJoinedWithNextAnswer() {
    pooled.serve("first");
    connection.writeUnasked(ascii("HTTP/1.1 200 OK\r\nServer: some\r\n"));
    assertThat(connection.isOpen()).isFalse();
  }

  /** Guards against the same in the read that has the end of an answer. */
  @Test
  void linesOfHeadBehindAnswerAreNotJoinedWithNextAnswer() {
    pooled.send(HttpMethod.GET, "first");
    connection.answer(
        answer(Status.SUCCESS, "first").bytes(), ascii("HTTP/1.1 200 OK\r\nServer: some\r\n"));
    assertThat(connection.isOpen()).isFalse();
  }

  /** Guards against a part of a status line in the read that has the end of an answer. */
  @Test
  void startOfHeadBehindAnswerIsNotJoinedWithNextAnswer() {
    pooled.send(HttpMethod.GET, "first");
    connection.answer(answer(Status.SUCCESS, "first").bytes(), ascii("HTTP/1.1 200 O"));
    assertThat(connection.isOpen()).isFalse();
    assertThat(pooled.takeIdle("second")).isEmpty();
  }

  /** Guards against a success whose status is that of another answer, which broke off. */
  @Test
  void statusLineThatBreaksOffIsNotJoinedWithNextHead() {
    assertHeadIsNotJoined("HTTP/1.1 200 O");
  }

  /** Guards against the same where the other answer broke off between its words. */
  @Test
  void statusLineThatBreaksOffAfterStatusIsNotJoinedWithNextHead() {
    assertHeadIsNotJoined("HTTP/1.1 200 ");
  }

  /** Guards against the same where the other answer broke off in a header. */
  @Test
  void headerThatBreaksOffIsNotJoinedWithNextHead() {
    assertHeadIsNotJoined("HTTP/1.1 200 OK\r\nServer: some");
  }

  /** Guards against the same where the other answer broke off in the name of a header. */
  @Test
  void headerNameThatBreaksOffIsNotJoinedWithNextHead() {
    assertHeadIsNotJoined("HTTP/1.1 200 OK\r\nSer");
  }

  /** Guards against the same where the other answer broke off between two headers. */
  @Test
  void headThatBreaksOffBetweenHeadersIsNotJoinedWithNextHead() {
    assertHeadIsNotJoined("HTTP/1.1 200 OK\r\nServer: some\r\n");
  }

  private void assertHeadIsNotJoined(String start) {
    pooled.serve("first");
    ReceivedAnswer second = pooled.send(HttpMethod.GET, "second");
    connection.answer(ascii(start), NOTHING);
    connection.answer(answer(Status.FAILURE, "second").bytes(), NOTHING);
    assertThat(second.whole()).isEmpty();
    assertThat(second.hasEnded()).isTrue();
  }

  /** Guards against a request that stays open since another answer was taken for its framing. */
  @Test
  void requestForHeadEndsThoughAnotherAnswerWasSkipped() {
    pooled.serve("first");
    ReceivedAnswer second = pooled.send(HttpMethod.HEAD, "second");
    connection.answer(answerToHead("first").bytes(), NOTHING);
    connection.answer(answerToHead("second").bytes(), NOTHING);
    assertThat(second.hasEnded()).isTrue();
  }

  /** Guards against a second answer to {@code HEAD} whose length is read out of the next answer. */
  @Test
  void requestEndsThoughAnswerToHeadWasSkipped() {
    ReceivedAnswer first = pooled.send(HttpMethod.HEAD, "first");
    connection.answer(answerToHead("first").bytes(), NOTHING);
    assertThat(first.whole()).contains(answerToHead("first").received());
    Optional<UpstreamConnection> reused = pooled.takeIdle("second");
    ReceivedAnswer second = new ReceivedAnswer("second", () -> {});
    reused.ifPresent(
        taken -> {
          connection.send(HttpMethod.GET, second);
          connection.answer(answerToHead("first").bytes(), NOTHING);
          connection.answer(answer(Status.SUCCESS, "second").bytes(), NOTHING);
        });
    assertThat(second.hasEnded()).isEqualTo(reused.isPresent());
  }

  /** Guards against a request that stays open for what follows a switch in the same read. */
  @Test
  void bytesBehindSwitchToOtherProtocolFailRequest() {
    ReceivedAnswer first = pooled.send(HttpMethod.GET, "first");
    connection.answer(
        ascii("HTTP/1.1 101 Switching Protocols\r\nUpgrade: other\r\n\r\n"), ascii("other"));
    assertThat(first.whole()).isEmpty();
    assertThat(first.hasEnded()).isTrue();
  }

  /** Guards against a request that waits while the connection carries no HTTP any more. */
  @Test
  void switchToOtherProtocolFailsRequest() {
    ReceivedAnswer first = pooled.send(HttpMethod.GET, "first");
    connection.answer(ascii("HTTP/1.1 101 Switching Protocols\r\nUpgrade: other\r\n\r\n"), NOTHING);
    connection.answer(answer(Status.SUCCESS, "first").bytes(), NOTHING);
    assertThat(first.hasEnded()).isTrue();
  }

  /** Guards against a tunnel that goes back to the pool, and whose next request gets no answer. */
  @Test
  void connectionWithTunnelIsNotReused() {
    ReceivedAnswer first = pooled.send(HttpMethod.CONNECT, "first");
    connection.answer(answer(Status.SUCCESS, "first").bytes(), NOTHING);
    assertThat(first.whole()).isEmpty();
    assertThat(pooled.takeIdle("second")).isEmpty();
  }

  /** Guards against a second answer that is delivered as the end of a first one without length. */
  @Test
  void secondAnswerIsNoPartOfAnswerWithoutLength() {
    ReceivedAnswer first = pooled.send(HttpMethod.GET, "first");
    AnswerText own =
        new AnswerText(Status.SUCCESS, List.of("first"), "a", Framing.CONNECTION_END, true);
    connection.answer(own.bytes(), answer(Status.FAILURE, "first").bytes());
    connection.end(End.CLOSE);
    assertThat(first.whole().filter(text -> !text.equals(own.received()))).isEmpty();
  }

  /** Guards against a request that is sent where the upstream has closed already. */
  @Test
  void connectionThatEndsItsAnswerIsNotReused() {
    assertThat(pooled.takeIdle("first")).isPresent();
    boolean[] isReused = new boolean[1];
    ReceivedAnswer first =
        new ReceivedAnswer("first", () -> isReused[0] = pooled.takeIdle("second").isPresent());
    connection.send(HttpMethod.GET, first);
    AnswerText own =
        new AnswerText(Status.SUCCESS, List.of("first"), "a", Framing.CONNECTION_END, true);
    connection.answer(own.bytes(), NOTHING);
    connection.end(End.CLOSE);
    assertThat(first.whole()).contains(own.received());
    assertThat(isReused).containsExactly(false);
  }

  private static AnswerText answerToHead(String id) {
    return new AnswerText(Status.SUCCESS, List.of(id), "of " + id, Framing.LENGTH, false);
  }
}
