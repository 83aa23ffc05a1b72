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
import java.util.Random;
import net.jqwik.api.ForAll;
import net.jqwik.api.Property;
import net.jqwik.api.constraints.IntRange;
import org.teaseltrail.testing.MalformedAnswer;

/** What the decoder makes of answers that arrive in pieces of any size. */
class AnswerDecoderProperties {

  private static final String BODY = "body";

  /** Well-formed answers that are unusual in one place. */
  enum UnusualAnswer {
    STATUS_UNKNOWN("HTTP/1.1 299 Nothing\r\nContent-Length: 4\r\n\r\nbody", "299 body"),
    STATUS_AT_END_OF_RANGE("HTTP/1.1 599 Nothing\r\nContent-Length: 4\r\n\r\nbody", "599 body"),
    REASON_EMPTY("HTTP/1.1 200 \r\nContent-Length: 4\r\n\r\nbody", "200 body"),
    REASON_MISSING("HTTP/1.1 200\r\nContent-Length: 4\r\n\r\nbody", "200 body"),
    REASON_OF_MANY_BYTES("HTTP/1.1 200 \t(ö)\u0080\r\nContent-Length: 4\r\n\r\nbody", "200 body"),
    OLD_VERSION("HTTP/1.0 200 OK\r\n\r\nbody", "200 body"),
    NAME_OF_ALL_SIGNS(
        "HTTP/1.1 200 OK\r\n!#$%&'*+-.^_`|~09aZ: v\r\nContent-Length: 4\r\n\r\nbody", "200 body"),
    VALUE_EMPTY("HTTP/1.1 200 OK\r\nX-Empty:\r\nContent-Length: 4\r\n\r\nbody", "200 body"),
    VALUE_OF_BLANKS("HTTP/1.1 200 OK\r\nX-Blank: \t v  w\t\r\n\r\nbody", "200 body"),
    VALUE_ABOVE_ASCII("HTTP/1.1 200 OK\r\nX-Above: \u0080ÿ\r\n\r\nbody", "200 body"),
    LENGTH_BEHIND_BLANKS("HTTP/1.1 200 OK\r\nContent-Length: \t 4 \r\n\r\nbody", "200 body"),
    ENDS_WITH_CONNECTION("HTTP/1.1 200 OK\r\n\r\nbody", "200 body"),
    CODING_IN_OTHER_CASE(
        "HTTP/1.1 200 OK\r\ntransfer-encoding: Chunked\r\n\r\n4\r\nbody\r\n0\r\n\r\n", "200 body"),
    CHUNK_EXTENSIONS(
        "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n2;x=1\r\nbo\r\n"
            + "2 ; y\r\ndy\r\n0;z\r\n\r\n",
        "200 body"),
    CHUNK_SIZES_OF_MANY_DIGITS(
        "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n0004\r\nbody\r\n000\r\n\r\n",
        "200 body"),
    TRAILERS(
        "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n4\r\nbody\r\n0\r\n"
            + "X-A: v\r\nX-B:\r\n\r\n",
        "200 body"),
    LINES_IN_BODY(
        "HTTP/1.1 200 OK\r\nContent-Length: 10\r\n\r\na b\n : \r\n\u0001",
        "200 a b\n : \r\n\u0001"),
    EARLY_ANSWERS(
        "HTTP/1.1 100 \r\n\r\nHTTP/1.1 103 Hints\r\nLink: a\r\n\r\nHTTP/1.1 204 None\r\n\r\n",
        "204 "),
    LINE_ENDS_BEFORE_ANSWER("\r\n\r\nHTTP/1.1 200 OK\r\nContent-Length: 4\r\n\r\nbody", "200 body");

    private final String sent;
    private final String decoded;

    UnusualAnswer(String sent, String decoded) {
      this.sent = sent;
      this.decoded = decoded;
    }
  }

  /** Guards against a malformed answer that is taken for a whole one. */
  @Property(seed = "77001", tries = 2_000)
  void malformedAnswerIsNeverWhole(
      @ForAll MalformedAnswer kind,
      @ForAll long cutSeed,
      @ForAll @IntRange(min = 1, max = 60) int maxPieceBytes) {
    DecodedAnswer answer =
        receive(kind.text("HTTP/1.1 200 OK", "", BODY), new Random(cutSeed), maxPieceBytes);
    assertThat(answer.end()).isCompletedWithValue(false);
    if (kind.isHeadMalformed()) {
      assertThat(answer.text()).isEmpty();
    }
  }

  /** Guards against a well-formed answer that is given up, or read otherwise than it was sent. */
  @Property(seed = "77002", tries = 2_000)
  void unusualAnswerIsWhole(
      @ForAll UnusualAnswer kind,
      @ForAll long cutSeed,
      @ForAll @IntRange(min = 1, max = 60) int maxPieceBytes) {
    DecodedAnswer answer = receive(kind.sent, new Random(cutSeed), maxPieceBytes);
    assertThat(answer.end()).isCompletedWithValue(true);
    assertThat(answer.text()).isEqualTo(kind.decoded);
  }

  /** Sends a request, hands the answer over in random pieces, and closes in order. */
  private static DecodedAnswer receive(String text, Random random, int maxPieceBytes) {
    AnswerDecoder decoder = new AnswerDecoder(new HttpDecoderConfig());
    DecodedAnswer answer = new DecodedAnswer();
    EmbeddedChannel channel = new EmbeddedChannel();
    channel.pipeline().addLast(new RequestEncoder(decoder), decoder, answer);
    channel.writeOutbound(new DefaultFullHttpRequest(HttpVersion.HTTP_1_1, HttpMethod.GET, "/"));
    channel.releaseOutbound();
    byte[] bytes = text.getBytes(StandardCharsets.ISO_8859_1);
    int from = 0;
    while (from < bytes.length) {
      int to = Math.min(bytes.length, from + 1 + random.nextInt(maxPieceBytes));
      channel.writeInbound(Unpooled.copiedBuffer(bytes, from, to - from));
      from = to;
    }
    channel.pipeline().fireUserEventTriggered(ChannelInputShutdownEvent.INSTANCE);
    return answer;
  }
}
