package org.teaseltrail.forward;

import static org.assertj.core.api.Assertions.assertThat;

import io.netty.buffer.ByteBuf;
import io.netty.buffer.Unpooled;
import io.netty.channel.embedded.EmbeddedChannel;
import io.netty.channel.socket.ChannelInputShutdownEvent;
import io.netty.handler.codec.http.DefaultFullHttpRequest;
import io.netty.handler.codec.http.HttpMethod;
import io.netty.handler.codec.http.HttpResponse;
import io.netty.handler.codec.http.HttpVersion;
import java.io.IOException;
import java.nio.charset.StandardCharsets;
import net.jqwik.api.ForAll;
import net.jqwik.api.Property;
import net.jqwik.api.constraints.IntRange;
import org.teaseltrail.core.forward.AttemptOutcome;

/** An answer is complete only if its upstream has said all of it, however its connection ends. */
class ResponseEndProperties {

  private static final String HEAD = "HTTP/1.1 200 OK\r\n";

  /** How an upstream tells where its answer ends. */
  enum Framing {
    LENGTH("Content-Length: 10\r\n\r\n", "0123456789"),
    CHUNKS("Transfer-Encoding: chunked\r\n\r\n", "a\r\n0123456789\r\n0\r\n\r\n"),
    CONNECTION("\r\n", "0123456789");

    private final byte[] bytes;

    Framing(String header, String body) {
      bytes = (HEAD + header + body).getBytes(StandardCharsets.ISO_8859_1);
    }

    private int headBytes() {
      return new String(bytes, StandardCharsets.ISO_8859_1).indexOf("\r\n\r\n") + 4;
    }
  }

  /** How a connection ends. */
  enum End {
    /** The upstream closes it in order. */
    CLOSED_BY_UPSTREAM {
      @Override
      void apply(EmbeddedChannel channel) {
        channel.pipeline().fireUserEventTriggered(ChannelInputShutdownEvent.INSTANCE);
      }
    },
    /** Reading fails. */
    RESET {
      @Override
      void apply(EmbeddedChannel channel) {
        channel.pipeline().fireExceptionCaught(new IOException("reset"));
      }
    },
    /** Writing fails, which closes the connection without a word to its handlers. */
    WRITE_FAILED {
      @Override
      void apply(EmbeddedChannel channel) {
        channel.close();
      }
    };

    abstract void apply(EmbeddedChannel channel);
  }

  /** Guards against a part of an answer that reaches its caller as all of it. */
  @Property(seed = "20261204")
  void partOfAnswerIsNeverComplete(
      @ForAll Framing framing, @ForAll End end, @ForAll @IntRange(min = 0, max = 100) int percent) {
    final int received = framing.bytes.length * percent / 100;
    UpstreamConnectionPool<String> pool =
        new UpstreamConnectionPool<>(
            null, new FakeHeaderCodec(), new UpstreamConnectionListener<String>() {});
    UpstreamConnection connection = new UpstreamConnection(pool, new FakeHeaderCodec());
    EmbeddedChannel channel = new EmbeddedChannel();
    connection.addTo(channel.pipeline());
    RecordingListener answer = new RecordingListener();
    connection.send(new DefaultFullHttpRequest(HttpVersion.HTTP_1_1, HttpMethod.GET, "/"), answer);
    channel.releaseOutbound();
    if (received > 0) {
      channel.writeInbound(Unpooled.copiedBuffer(framing.bytes, 0, received));
    }
    end.apply(channel);
    channel.runPendingTasks();

    boolean isWhole =
        framing == Framing.CONNECTION
            ? end == End.CLOSED_BY_UPSTREAM && received >= framing.headBytes()
            : received == framing.bytes.length;
    assertThat(answer.completed).isEqualTo(isWhole ? 1 : 0);
    assertThat(answer.failed).isEqualTo(isWhole ? 0 : 1);
    assertThat(channel.isActive()).isFalse();
  }

  private static final class RecordingListener implements UpstreamResponseListener {

    private int completed;
    private int failed;

    @Override
    public String requestId() {
      return "id";
    }

    @Override
    public void headReceived(HttpResponse head, ResponseHead read) {}

    @Override
    public void bodyReceived(ByteBuf part) {}

    @Override
    public void readCompleted() {}

    @Override
    public void completed() {
      completed++;
    }

    @Override
    public void failed(AttemptOutcome end) {
      failed++;
    }
  }
}
