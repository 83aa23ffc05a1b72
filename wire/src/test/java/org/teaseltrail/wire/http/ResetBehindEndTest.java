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
import java.util.concurrent.TimeUnit;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;

/** Connections that are reset a moment after an orderly end, in virtual time. */
class ResetBehindEndTest {

  private static final int BEFORE_CHECK_MS = 9;
  private static final int LONG_MS = 1_000;

  private final FakeResetProbe probe = new FakeResetProbe();
  private final DecodedAnswer answer = new DecodedAnswer();
  private final EmbeddedChannel channel = new EmbeddedChannel();

  @BeforeEach
  void freezeTime() {
    channel.freezeTime();
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

  private void advance(int byMs) {
    channel.advanceTimeBy(byMs, TimeUnit.MILLISECONDS);
    channel.runScheduledPendingTasks();
  }

  /** Guards against a part of an answer that is taken for the whole before its reset shows. */
  @Test
  void answerThatIsResetBehindItsEndIsNotWhole() {
    sendRequest("upload");
    receive("HTTP/1.1 200 OK\r\n\r\npart");
    advance(BEFORE_CHECK_MS);
    assertThat(answer.end()).isNotDone();
    probe.reset();
    advance(LONG_MS);
    assertThat(answer.end()).isCompletedWithValue(false);
  }

  @Test
  void answerThatIsNotResetIsWhole() {
    sendRequest("upload");
    receive("HTTP/1.1 200 OK\r\n\r\nwhole");
    advance(LONG_MS);
    assertThat(answer.end()).isCompletedWithValue(true);
    assertThat(answer.text()).isEqualTo("200 whole");
  }

  /** Guards against an answer that waits although there is no body that could be left unread. */
  @Test
  void answerToRequestWithoutBodyIsWholeAtOnce() {
    sendRequest("");
    probe.reset();
    receive("HTTP/1.1 200 OK\r\n\r\nwhole");
    assertThat(answer.end()).isCompletedWithValue(true);
  }

  /** Guards against a connection that fails while its end is held back, and counts as ended. */
  @Test
  void answerWhoseConnectionFailsBehindItsEndIsNotWhole() {
    sendRequest("upload");
    receive("HTTP/1.1 200 OK\r\n\r\npart");
    channel.close();
    assertThat(answer.end()).isCompletedWithValue(false);
    advance(LONG_MS);
    assertThat(answer.text()).isEqualTo("200 part");
  }
}
