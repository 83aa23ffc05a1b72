package org.teaseltrail.wire.http;

import static org.assertj.core.api.Assertions.assertThat;

import io.netty.buffer.Unpooled;
import io.netty.channel.embedded.EmbeddedChannel;
import io.netty.channel.socket.ChannelInputShutdownEvent;
import io.netty.handler.codec.http.DefaultFullHttpRequest;
import io.netty.handler.codec.http.HttpDecoderConfig;
import io.netty.handler.codec.http.HttpMethod;
import io.netty.handler.codec.http.HttpVersion;
import java.nio.charset.StandardCharsets;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;

/** Connections that are reset behind an orderly end. */
class ResetBehindEndTest {

  private final FakeResetProbe probe = new FakeResetProbe();
  private final DecodedAnswer answer = new DecodedAnswer();
  private final EmbeddedChannel channel = new EmbeddedChannel();

  @BeforeEach
  void open() {
    AnswerDecoder decoder = new AnswerDecoder(new HttpDecoderConfig(), probe);
    channel.pipeline().addLast(new RequestEncoder(decoder), decoder, answer);
  }

  private void sendRequest(String body) {
    channel.writeOutbound(
        new DefaultFullHttpRequest(
            HttpVersion.HTTP_1_1, HttpMethod.POST, "/", Unpooled.copiedBuffer(bytes(body))));
    channel.releaseOutbound();
  }

  private void receive(String text) {
    channel.writeInbound(Unpooled.copiedBuffer(bytes(text)));
    channel.pipeline().fireUserEventTriggered(ChannelInputShutdownEvent.INSTANCE);
  }

  private static byte[] bytes(String text) {
    return text.getBytes(StandardCharsets.ISO_8859_1);
  }

  /** Guards against a part of an answer whose reset doesn't show to the reader. */
  @Test
  void answerThatIsResetBehindItsEndIsNotWhole() {
    sendRequest("upload");
    probe.reset();
    receive("HTTP/1.1 200 OK\r\n\r\npart");
    assertThat(answer.end()).isCompletedWithValue(false);
  }

  @Test
  void answerThatIsNotResetIsWhole() {
    sendRequest("upload");
    receive("HTTP/1.1 200 OK\r\n\r\nwhole");
    assertThat(answer.end()).isCompletedWithValue(true);
    assertThat(answer.text()).isEqualTo("200 whole");
  }

  /** Guards against a reset that counts although there is no body that could be left unread. */
  @Test
  void answerToRequestWithoutBodyIsWhole() {
    sendRequest("");
    probe.reset();
    receive("HTTP/1.1 200 OK\r\n\r\nwhole");
    assertThat(answer.end()).isCompletedWithValue(true);
  }
}
