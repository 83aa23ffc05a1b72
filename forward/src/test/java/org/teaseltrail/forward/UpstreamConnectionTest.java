package org.teaseltrail.forward;

import static org.assertj.core.api.Assertions.assertThat;

import io.netty.buffer.ByteBuf;
import io.netty.buffer.Unpooled;
import io.netty.channel.embedded.EmbeddedChannel;
import io.netty.handler.codec.http.DefaultFullHttpRequest;
import io.netty.handler.codec.http.DefaultFullHttpResponse;
import io.netty.handler.codec.http.DefaultHttpContent;
import io.netty.handler.codec.http.DefaultHttpResponse;
import io.netty.handler.codec.http.FullHttpResponse;
import io.netty.handler.codec.http.HttpMethod;
import io.netty.handler.codec.http.HttpResponse;
import io.netty.handler.codec.http.HttpResponseStatus;
import io.netty.handler.codec.http.HttpUtil;
import io.netty.handler.codec.http.HttpVersion;
import java.util.ArrayList;
import java.util.List;
import org.junit.jupiter.api.Test;
import org.teaseltrail.core.forward.AttemptOutcome;
import org.teaseltrail.core.id.UpstreamId;
import org.teaseltrail.core.relay.ProbeResult;

class UpstreamConnectionTest {

  private static final String TARGET = "upstream";

  private final UpstreamConnectionPool<String> pool =
      new UpstreamConnectionPool<>(
          null, new FakeHeaderCodec(), new UpstreamConnectionListener<String>() {});
  private final UpstreamConnection connection = new UpstreamConnection(pool, new FakeHeaderCodec());
  private final EmbeddedChannel channel = new EmbeddedChannel(connection);
  private final List<String> completed = new ArrayList<>();
  private String inFlight;

  UpstreamConnectionTest() {
    pool.adopt(TARGET, connection);
  }

  /**
   * Guards against a request that runs and whose response is never read: the one before it on the
   * connection ended while its caller could take no more.
   */
  @Test
  void connectionInPoolReadsAlthoughLastCallerWasSlow() {
    exchange("slow");
    connection.setCallerWritable(false);

    assertThat(channel.config().isAutoRead()).isTrue();
    exchange("next");
    assertThat(completed).containsExactly("slow", "next");
  }

  @Test
  void readingPausesWhileResponseIsInFlight() {
    send("stream");
    connection.setCallerWritable(false);
    assertThat(channel.config().isAutoRead()).isFalse();
    connection.setCallerWritable(true);
    assertThat(channel.config().isAutoRead()).isTrue();
  }

  /** Guards against early answers without end, which were read until the request's deadline. */
  @Test
  void earlyAnswersWithoutEndAreGivenUp() {
    send("early");
    for (int i = 0; i < 10_000 && channel.isActive(); i++) {
      channel.writeInbound(
          new DefaultFullHttpResponse(HttpVersion.HTTP_1_1, HttpResponseStatus.EARLY_HINTS));
    }
    assertThat(completed).containsExactly("failed early");
    assertThat(channel.isActive()).isFalse();
  }

  /** Guards against signs of life that are taken for answers without end. */
  @Test
  void earlyAnswerEachSecondIsNoFlood() {
    send("slow");
    for (int i = 0; i < 60; i++) {
      channel.writeInbound(
          new DefaultFullHttpResponse(HttpVersion.HTTP_1_1, HttpResponseStatus.PROCESSING));
    }
    finish();
    assertThat(completed).containsExactly("slow");
  }

  /** Guards against answers to other requests without end, which are read only to be skipped. */
  @Test
  void answersToOthersWithoutEndAreGivenUp() {
    send("mine");
    for (int i = 0; i < 10_000 && channel.isActive(); i++) {
      DefaultFullHttpResponse other =
          new DefaultFullHttpResponse(HttpVersion.HTTP_1_1, HttpResponseStatus.OK);
      other.headers().set(FakeHeaderCodec.REQUEST_ID, "other");
      channel.writeInbound(other);
    }
    assertThat(completed).containsExactly("failed mine");
  }

  /** Guards against an answer to another request whose body has no end. */
  @Test
  void bodyOfAnswerToOtherIsGivenUp() {
    send("mine");
    DefaultHttpResponse other =
        new DefaultHttpResponse(HttpVersion.HTTP_1_1, HttpResponseStatus.OK);
    other.headers().set(FakeHeaderCodec.REQUEST_ID, "other");
    channel.writeInbound(other);
    for (int i = 0; i < 10_000 && channel.isActive(); i++) {
      channel.writeInbound(new DefaultHttpContent(Unpooled.wrappedBuffer(new byte[8_192])));
    }
    assertThat(completed).containsExactly("failed mine");
  }

  /** Guards against a health check whose answer has no end and is read for ever. */
  @Test
  void healthCheckIsGivenUpThoughItsAnswerHasBegun() {
    List<ProbeResult> results = new ArrayList<>();
    HealthCheck check =
        new HealthCheck(
            new UpstreamId("a1"), connection, (upstream, result) -> results.add(result));
    connection.send(new DefaultFullHttpRequest(HttpVersion.HTTP_1_1, HttpMethod.GET, "/"), check);
    channel.writeInbound(new DefaultHttpResponse(HttpVersion.HTTP_1_1, HttpResponseStatus.OK));
    channel.writeInbound(new DefaultHttpContent(Unpooled.wrappedBuffer(new byte[8_192])));
    assertThat(results).containsExactly(ProbeResult.ANSWERED);
    check.onTimeout();
    assertThat(channel.isActive()).isFalse();
    assertThat(results).hasSize(1);
  }

  private void exchange(String id) {
    send(id);
    finish();
  }

  private void finish() {
    FullHttpResponse response =
        new DefaultFullHttpResponse(HttpVersion.HTTP_1_1, HttpResponseStatus.OK);
    HttpUtil.setContentLength(response, 0);
    response.headers().set(FakeHeaderCodec.REQUEST_ID, inFlight);
    channel.writeInbound(response);
  }

  private void send(String id) {
    assertThat(pool.takeIdle(TARGET, id)).containsSame(connection);
    inFlight = id;
    connection.send(
        new DefaultFullHttpRequest(HttpVersion.HTTP_1_1, HttpMethod.GET, "/"),
        new RecordingListener(id));
  }

  private final class RecordingListener implements UpstreamResponseListener {

    private final String id;

    RecordingListener(String id) {
      this.id = id;
    }

    @Override
    public String requestId() {
      return id;
    }

    @Override
    public void headReceived(HttpResponse head, ResponseHead read) {}

    @Override
    public void bodyReceived(ByteBuf part) {}

    @Override
    public void readCompleted() {}

    @Override
    public void completed() {
      completed.add(id);
    }

    @Override
    public void failed(AttemptOutcome end) {
      completed.add("failed " + id);
    }
  }
}
