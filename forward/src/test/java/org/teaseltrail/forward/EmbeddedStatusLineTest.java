package org.teaseltrail.forward;

import static org.assertj.core.api.Assertions.assertThat;

import io.netty.buffer.Unpooled;
import io.netty.channel.embedded.EmbeddedChannel;
import io.netty.handler.codec.http.HttpDecoderConfig;
import io.netty.handler.codec.http.HttpResponse;
import java.nio.charset.StandardCharsets;
import org.junit.jupiter.api.Test;
import org.teaseltrail.wire.http.AnswerDecoder;
import org.teaseltrail.wire.http.EmbeddedStatusLine;

/** Heads that break off after any byte, joined with the head of the next answer. */
class EmbeddedStatusLineTest {

  private static final String FIRST =
      "HTTP/1.1 200 OK\r\nServer: some\r\nRequest-Id: first\r\nContent-Length: 3\r\n\r\n";
  private static final String NEXT =
      "HTTP/1.1 500 Internal Server Error\r\nRequest-Id: next\r\nContent-Length: 0\r\n\r\n";

  /** Guards against a joined head that is read as a success. */
  @Test
  void noCutOfHeadIsReadAsSuccess() {
    for (int bytes = 1; bytes < FIRST.length(); bytes++) {
      EmbeddedChannel channel = new EmbeddedChannel(new AnswerDecoder(new HttpDecoderConfig()));
      String joined = FIRST.substring(0, bytes) + NEXT;
      channel.writeInbound(Unpooled.copiedBuffer(joined, StandardCharsets.ISO_8859_1));
      HttpResponse head = channel.readInbound();
      boolean isTakenForSuccess =
          head.decoderResult().isSuccess()
              && head.status().code() == 200
              && !EmbeddedStatusLine.isIn(head.status().reasonPhrase(), head.headers());
      assertThat(isTakenForSuccess).as("cut after %s bytes: %s", bytes, head).isFalse();
      channel.finishAndReleaseAll();
    }
  }
}
