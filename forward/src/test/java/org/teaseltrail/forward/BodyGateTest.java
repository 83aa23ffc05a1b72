package org.teaseltrail.forward;

import static org.assertj.core.api.Assertions.assertThat;

import io.netty.buffer.ByteBuf;
import io.netty.buffer.Unpooled;
import io.netty.channel.embedded.EmbeddedChannel;
import io.netty.handler.codec.DecoderResult;
import io.netty.handler.codec.http.DefaultHttpContent;
import io.netty.handler.codec.http.DefaultHttpRequest;
import io.netty.handler.codec.http.DefaultLastHttpContent;
import io.netty.handler.codec.http.HttpContent;
import io.netty.handler.codec.http.HttpHeaderNames;
import io.netty.handler.codec.http.HttpMethod;
import io.netty.handler.codec.http.HttpRequest;
import io.netty.handler.codec.http.HttpUtil;
import io.netty.handler.codec.http.HttpVersion;
import java.util.ArrayList;
import java.util.List;
import java.util.OptionalLong;
import java.util.concurrent.TimeUnit;
import org.junit.jupiter.api.Test;

/**
 * Guards against callers whose large bodies use up the memory for network buffers, so that all
 * other requests of the process stand still.
 */
class BodyGateTest {

  private static final int MAX_BODY_BYTES = 4_000_000;
  private static final int LARGE_BYTES = 3_000_000;
  private static final int HEADS_BYTES = 1_000_000;

  private final BodyBudget budget = new BodyBudget(MAX_BODY_BYTES);
  private final HeadBudget headBudget = new HeadBudget(HEADS_BYTES);
  private final Caller first = new Caller();
  private final Caller second = new Caller();

  /** One caller's connection; counts what passes its gate. */
  private final class Caller implements BodyGate.Listener {

    @Override
    public void onHead(OptionalLong deadlineMs) {
      // Only room matters here.
    }

    private final BodyGate gate =
        new BodyGate(budget, headBudget, new FakeHeaderCodec(), MAX_BODY_BYTES, this);
    private final EmbeddedChannel channel = new EmbeddedChannel(gate);
    private int rooms;
    private int refusals;

    Caller() {
      channel.freezeTime();
    }

    void send(int declaredBytes) {
      HttpRequest head = new DefaultHttpRequest(HttpVersion.HTTP_1_1, HttpMethod.POST, "/");
      HttpUtil.setContentLength(head, declaredBytes);
      channel.writeInbound(head);
    }

    int passed() {
      int passed = 0;
      while (channel.readInbound() != null) {
        passed++;
      }
      return passed;
    }

    boolean isReading() {
      return channel.config().isAutoRead();
    }

    void advanceTime(long ms) {
      channel.advanceTimeBy(ms, TimeUnit.MILLISECONDS);
      channel.runScheduledPendingTasks();
    }

    @Override
    public void onRoom() {
      rooms++;
    }

    @Override
    public void onNoRoom() {
      refusals++;
    }
  }

  @Test
  void largeBodyWaitsUnreadUntilThereIsRoom() {
    first.send(LARGE_BYTES);
    second.send(LARGE_BYTES);
    second.channel.writeInbound(new DefaultHttpContent(Unpooled.buffer(10).writeZero(10)));
    assertThat(first.passed()).isEqualTo(1);
    assertThat(second.passed()).isZero();
    assertThat(second.isReading()).isFalse();

    first.gate.releaseOldest();
    assertThat(second.rooms).isEqualTo(1);
    assertThat(second.passed()).isEqualTo(2);
    assertThat(second.isReading()).isTrue();
    assertThat(budget.usedBytes()).isEqualTo(LARGE_BYTES);
  }

  /** Guards against parts of two pipelined requests that change places. */
  @Test
  void pipelinedRequestsWaitInOrder() {
    first.send(LARGE_BYTES);
    second.send(LARGE_BYTES);
    second.send(LARGE_BYTES);
    second.channel.writeInbound(new DefaultHttpContent(Unpooled.EMPTY_BUFFER));
    first.gate.releaseOldest();
    assertThat(second.passed()).isEqualTo(1);
    assertThat(second.isReading()).isFalse();

    second.gate.releaseOldest();
    assertThat(second.channel.<Object>readInbound()).isInstanceOf(HttpRequest.class);
    assertThat(second.channel.<Object>readInbound()).isInstanceOf(HttpContent.class);
    assertThat(second.isReading()).isTrue();
  }

  /** Guards against hundreds of bodies that are each too small for the budget to see. */
  @Test
  void manySmallBodiesWaitForRoomToo() {
    int passed = 0;
    for (int i = 0; i < 100; i++) {
      Caller caller = new Caller();
      caller.send(60_000);
      passed += caller.passed();
    }
    assertThat(passed).isEqualTo(MAX_BODY_BYTES / 60_000);
  }

  /** Guards against network buffers that are held for the small parts of bodies in them. */
  @Test
  void partOfBodyHoldsNoNetworkBuffer() {
    first.send(3_000);
    assertThat(first.passed()).isEqualTo(1);
    ByteBuf read = Unpooled.directBuffer(65_536).writeZero(1_460);
    first.channel.writeInbound(new DefaultHttpContent(read));
    HttpContent passed = first.channel.readInbound();
    assertThat(read.refCnt()).isZero();
    assertThat(passed.content().readableBytes()).isEqualTo(1_460);
    assertThat(passed.content().isDirect()).isFalse();
  }

  /** Guards against pipelined requests with small bodies that nobody counts. */
  @Test
  void smallRequestsInGreatNumberAreRefused() {
    for (int i = 0; i < 400; i++) {
      first.send(4_000);
      first.channel.writeInbound(new DefaultLastHttpContent(Unpooled.buffer().writeZero(4_000)));
    }
    assertThat(first.refusals).isEqualTo(1);
    assertThat(headBudget.usedBytes()).isBetween(HEADS_BYTES - 5_000L, (long) HEADS_BYTES);

    first.channel.close();
    assertThat(headBudget.usedBytes()).isZero();
  }

  /** Guards against whole requests that are refused for the sake of callers that send slowly. */
  @Test
  void halfHeadGivesWayToWholeRequest() {
    List<String> gone = new ArrayList<>();
    takePart("oldest", gone);
    takePart("newest", gone);
    assertThat(headBudget.tryReserve(HEADS_BYTES - 2_500)).isTrue();
    assertThat(gone).isEmpty();
    assertThat(headBudget.tryReserve(600)).isTrue();
    assertThat(gone).containsExactly("oldest");
    assertThat(headBudget.tryReserve(2_500)).isFalse();
    assertThat(gone).containsExactly("oldest", "newest");
  }

  private void takePart(String name, List<String> gone) {
    HeadBudget.Holder holder =
        () -> {
          gone.add(name);
          headBudget.release(1_000);
        };
    assertThat(headBudget.tryReservePart(holder, 1_000)).isTrue();
  }

  @Test
  void smallRequestsPassWhileLargeOnesWait() {
    first.send(LARGE_BYTES);
    second.send(LARGE_BYTES);
    Caller third = new Caller();
    third.send(600);
    assertThat(third.passed()).isEqualTo(1);
    assertThat(third.isReading()).isTrue();
  }

  @Test
  void callerWithoutRoomIsRefusedInTime() {
    first.send(LARGE_BYTES);
    second.send(LARGE_BYTES);
    second.advanceTime(FakeHeaderCodec.DEADLINE_MS / 2 + 1);
    assertThat(second.refusals).isEqualTo(1);
    assertThat(budget.waitingCount()).isZero();

    ByteBuf late = Unpooled.buffer(10).writeZero(10);
    second.channel.writeInbound(new DefaultHttpContent(late));
    assertThat(second.passed()).isZero();
    assertThat(late.refCnt()).isZero();
    assertThat(budget.usedBytes()).isEqualTo(LARGE_BYTES);
  }

  @Test
  void callerThatLeavesGivesItsRoomBack() {
    first.send(LARGE_BYTES);
    second.send(LARGE_BYTES);
    ByteBuf held = Unpooled.buffer(10).writeZero(10);
    second.channel.writeInbound(new DefaultHttpContent(held));
    second.channel.close();
    assertThat(held.refCnt()).isZero();
    assertThat(budget.waitingCount()).isZero();
    first.channel.close();
    assertThat(budget.usedBytes()).isZero();
  }

  /**
   * Guards against a connection that is closed without the answer that its request is malformed.
   */
  @Test
  void requestWithMalformedLengthPasses() {
    HttpRequest head = new DefaultHttpRequest(HttpVersion.HTTP_1_1, HttpMethod.POST, "/");
    head.headers().set(HttpHeaderNames.CONTENT_LENGTH, "many");
    head.setDecoderResult(DecoderResult.failure(new IllegalArgumentException("no length")));
    first.channel.writeInbound(head);
    assertThat(first.passed()).isEqualTo(1);
    assertThat(first.channel.isOpen()).isTrue();
  }

  @Test
  void bodyLargerThanBudgetPassesAlone() {
    BodyBudget small = new BodyBudget(100);
    assertThat(small.tryReserve(200)).isTrue();
    assertThat(small.tryReserve(1)).isFalse();
    small.release(200);
    assertThat(small.tryReserve(1)).isTrue();
  }
}
