package org.teaseltrail.forward;

import static org.assertj.core.api.Assertions.assertThat;

import io.netty.buffer.ByteBuf;
import io.netty.buffer.Unpooled;
import io.netty.channel.embedded.EmbeddedChannel;
import io.netty.handler.codec.http.DefaultFullHttpRequest;
import io.netty.handler.codec.http.HttpMethod;
import io.netty.handler.codec.http.HttpResponse;
import io.netty.handler.codec.http.HttpVersion;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.List;
import org.junit.jupiter.api.Test;
import org.teaseltrail.core.forward.AttemptOutcome;

/**
 * Upstreams that answer a request twice, the second time late. Callers had got a success where the
 * upstream had answered with a failure. An answer was matched to the request in flight by the id
 * that both name, which lets two others through: one that names no request, and one to an earlier
 * request that had the same id.
 */
class SecondAnswerTest {

  private static final String TARGET = "upstream";
  private static final String SUCCESS = "HTTP/1.1 200 OK\r\n";
  private static final String FAILURE = "HTTP/1.1 500 Internal Server Error\r\n";

  private final List<UnexpectedAnswer> unexpected = new ArrayList<>();
  private final UpstreamConnectionPool<String> pool =
      new UpstreamConnectionPool<>(null, new FakeHeaderCodec(), new UnexpectedAnswerRecorder());
  private final UpstreamConnection connection = new UpstreamConnection(pool, new FakeHeaderCodec());
  private final EmbeddedChannel channel = new EmbeddedChannel();

  SecondAnswerTest() {
    connection.addTo(channel.pipeline());
    pool.adopt(TARGET, connection);
  }

  /** Guards against an answer to an earlier request that is taken for that of the next one. */
  @Test
  void answerThatNamesNoRequestIsNotTakenForLaterOne() {
    RecordingListener first = send("first");
    receive(SUCCESS + name("first") + body("one"));
    RecordingListener second = send("second");
    receive(SUCCESS + body("one"));

    assertThat(first.result()).isEqualTo("200 one");
    assertThat(second.result()).isEqualTo("BROKEN");
    assertThat(channel.isActive()).isFalse();
    assertThat(unexpected)
        .singleElement()
        .satisfies(answer -> assertThat(answer.previous()).contains("first"));
  }

  /** Guards against upstreams whose answers name no request and are never used. */
  @Test
  void answerThatNamesNoRequestIsThatOfTheFirstOne() {
    RecordingListener first = send("first");
    receive(SUCCESS + body("one"));
    assertThat(first.result()).isEqualTo("200 one");
  }

  /** Guards against an answer to an earlier attempt that is taken for that of a later one. */
  @Test
  void lateAnswerIsNotTakenForLaterRequestWithSameId() {
    send("same");
    receive(SUCCESS + name("same") + body("one"));
    assertThat(pool.takeIdle(TARGET, "same")).isEmpty();
  }

  /** Guards against an answer to an earlier request that is taken for that of one without an id. */
  @Test
  void requestWithoutIdIsSentWhereNoOtherWas() {
    send("first");
    receive(SUCCESS + name("first") + body("one"));
    assertThat(pool.takeIdle(TARGET, "")).isEmpty();
  }

  /** Guards against a connection that is given up because one request is repeated. */
  @Test
  void connectionIsKeptForOtherRequests() {
    send("same");
    receive(SUCCESS + name("same") + body("one"));
    pool.takeIdle(TARGET, "same");
    RecordingListener other = send("other");
    receive(FAILURE + name("other") + body("two"));
    assertThat(other.result()).isEqualTo("500 two");
  }

  /** Guards against a next request that is sent where a second answer has arrived already. */
  @Test
  void connectionIsNotReusedIfMoreArrivesTogetherWithTheAnswersEnd() {
    RecordingListener first = send("first");
    List<UpstreamConnection> acquired = new ArrayList<>();
    first.onCompleted = () -> pool.takeIdle(TARGET, "second").ifPresent(acquired::add);
    receive(SUCCESS + name("first") + body("one") + FAILURE + name("first") + body("again"));

    assertThat(first.result()).isEqualTo("200 one");
    assertThat(acquired).isEmpty();
    assertThat(channel.isActive()).isFalse();
  }

  /**
   * Guards against the rest of an answer that was given up being logged as one of the upstream's.
   */
  @Test
  void restOfAnswerThatWasGivenUpIsNotUnexpected() {
    RecordingListener first = send("first");
    first.onBody = connection::abort;
    receive(
        SUCCESS + name("first") + "Transfer-Encoding: chunked\r\n\r\n3\r\none\r\n5\r\nthe rest");
    assertThat(channel.isActive()).isFalse();
    assertThat(unexpected).isEmpty();
  }

  private RecordingListener send(String id) {
    assertThat(pool.takeIdle(TARGET, id)).containsSame(connection);
    RecordingListener listener = new RecordingListener(id);
    connection.send(
        new DefaultFullHttpRequest(HttpVersion.HTTP_1_1, HttpMethod.GET, "/"), listener);
    return listener;
  }

  private void receive(String text) {
    channel.writeInbound(Unpooled.copiedBuffer(text, StandardCharsets.ISO_8859_1));
    channel.runPendingTasks();
  }

  private static String name(String id) {
    return FakeHeaderCodec.REQUEST_ID + ": " + id + "\r\n";
  }

  private static String body(String text) {
    return "Content-Length: " + text.length() + "\r\n\r\n" + text;
  }

  private final class UnexpectedAnswerRecorder implements UpstreamConnectionListener<String> {

    @Override
    public void onUnexpectedAnswer(String target, UnexpectedAnswer answer) {
      unexpected.add(answer);
    }
  }

  private static final class RecordingListener implements UpstreamResponseListener {

    private final String id;
    private final StringBuilder received = new StringBuilder();
    private String end = "open";
    private Runnable onCompleted = () -> {};
    private Runnable onBody = () -> {};

    RecordingListener(String id) {
      this.id = id;
    }

    private String result() {
      return end.equals("completed") ? received.toString() : end;
    }

    @Override
    public String requestId() {
      return id;
    }

    @Override
    public void headReceived(HttpResponse head, ResponseHead read) {
      received.append(head.status().code()).append(' ');
    }

    @Override
    public void bodyReceived(ByteBuf part) {
      received.append(part.toString(StandardCharsets.ISO_8859_1));
      onBody.run();
    }

    @Override
    public void readCompleted() {}

    @Override
    public void completed() {
      end = "completed";
      onCompleted.run();
    }

    @Override
    public void failed(AttemptOutcome outcome) {
      end = outcome.name();
    }
  }
}
