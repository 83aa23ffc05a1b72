package org.teaseltrail.forward;

import static org.assertj.core.api.Assertions.assertThat;
import static org.teaseltrail.forward.PooledConnection.NOTHING;
import static org.teaseltrail.forward.PooledConnection.answer;
import static org.teaseltrail.forward.PooledConnection.ascii;
import static org.teaseltrail.forward.PooledConnection.name;

import io.netty.handler.codec.http.HttpMethod;
import java.util.List;
import org.junit.jupiter.api.Test;
import org.teaseltrail.forward.AnswerText.Framing;
import org.teaseltrail.forward.AnswerText.Status;

/** Second answers that are skipped, and have no end of their own. */
class SkippedAnswerTest {

  private final PooledConnection pooled = new PooledConnection();
  private final ScriptedConnection connection = pooled.connection();

  /** Guards against a request whose answer is read as the body of a skipped one without length. */
  @Test
  void requestEndsThoughSkippedAnswerHasNoLength() {
    pooled.serve("first");
    ReceivedAnswer second = pooled.send(HttpMethod.GET, "second");
    AnswerText late =
        new AnswerText(Status.SUCCESS, List.of("first"), "late", Framing.CONNECTION_END, true);
    connection.answer(late.bytes(), NOTHING);
    connection.answer(answer(Status.FAILURE, "second").bytes(), NOTHING);
    assertThat(second.hasEnded()).isTrue();
  }

  /** Guards against the same where a skipped answer breaks off within its body. */
  @Test
  void requestEndsThoughSkippedAnswerBreaksOffInItsBody() {
    pooled.serve("first");
    ReceivedAnswer second = pooled.send(HttpMethod.GET, "second");
    connection.answer(
        ascii("HTTP/1.1 200 OK\r\n" + name("first") + "Content-Length: 500\r\n\r\nhalf"), NOTHING);
    connection.answer(answer(Status.FAILURE, "second").bytes(), NOTHING);
    assertThat(second.hasEnded()).isTrue();
  }
}
