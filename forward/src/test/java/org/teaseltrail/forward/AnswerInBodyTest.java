package org.teaseltrail.forward;

import static org.assertj.core.api.Assertions.assertThat;

import io.netty.buffer.Unpooled;
import java.nio.charset.StandardCharsets;
import org.junit.jupiter.api.Test;

/** Heads of other answers within bodies, and texts that only look like them. */
class AnswerInBodyTest {

  private static final String HEAD =
      "HTTP/1.1 500 No\r\nServer: some\r\n" + FakeHeaderCodec.REQUEST_ID + ": sent\r\n";

  /** Guards against a head that is missed since it arrives in two parts. */
  @Test
  void headIsFoundWhereverItIsCut() {
    String body = "text HTTP/1.1 200 in HTTP/1." + HEAD;
    for (int bytes = 0; bytes <= body.length(); bytes++) {
      AnswerInBody finder = new AnswerInBody(new FakeHeaderCodec(), "sent"::equals);
      boolean isFoundEarly = isFound(finder, body.substring(0, bytes));
      assertThat(isFoundEarly || isFound(finder, body.substring(bytes)))
          .as("cut after %s bytes", bytes)
          .isTrue();
    }
  }

  /** Guards against a body that is broken off since it quotes a status line or a head. */
  @Test
  void quotedTextIsNoAnswer() {
    assertThat(isFound("GET /x HTTP/1.1 200\r\n\r\n")).isFalse();
    assertThat(isFound("HTTP/1.1 200 OK\r\n\r\n" + FakeHeaderCodec.REQUEST_ID + ": sent\r\n"))
        .isFalse();
    assertThat(isFound(HEAD.replace(": sent", ": another"))).isFalse();
    assertThat(isFound("HTTP/1.1 200 " + "x".repeat(100_000))).isFalse();
  }

  /** Guards against events in front of a second answer that are lost with it. */
  @Test
  void bytesInFrontOfHeadAreKnown() {
    AnswerInBody finder = new AnswerInBody(new FakeHeaderCodec(), "sent"::equals);
    assertThat(
            finder.bytesInFrontOfAnswer(
                Unpooled.copiedBuffer("own" + HEAD, StandardCharsets.ISO_8859_1)))
        .hasValue(3);
  }

  private static boolean isFound(String body) {
    return isFound(new AnswerInBody(new FakeHeaderCodec(), "sent"::equals), body);
  }

  private static boolean isFound(AnswerInBody finder, String part) {
    return finder
        .bytesInFrontOfAnswer(Unpooled.copiedBuffer(part, StandardCharsets.ISO_8859_1))
        .isPresent();
  }
}
