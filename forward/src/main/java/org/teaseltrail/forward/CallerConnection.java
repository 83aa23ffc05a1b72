package org.teaseltrail.forward;

import io.netty.channel.Channel;
import io.netty.channel.ChannelFuture;
import io.netty.channel.ChannelFutureListener;
import io.netty.channel.ChannelHandlerContext;
import io.netty.channel.ChannelInboundHandlerAdapter;
import io.netty.channel.ChannelOutboundBuffer;
import io.netty.channel.socket.DuplexChannel;
import io.netty.handler.codec.http.DefaultFullHttpResponse;
import io.netty.handler.codec.http.FullHttpRequest;
import io.netty.handler.codec.http.HttpObject;
import io.netty.handler.codec.http.HttpResponse;
import io.netty.handler.codec.http.HttpResponseStatus;
import io.netty.handler.codec.http.HttpServerCodec;
import io.netty.handler.codec.http.HttpUtil;
import io.netty.handler.codec.http.HttpVersion;
import io.netty.handler.codec.http.TooLongHttpHeaderException;
import io.netty.handler.codec.http.TooLongHttpLineException;
import io.netty.util.ReferenceCountUtil;
import java.io.IOException;
import java.util.OptionalLong;
import java.util.concurrent.TimeUnit;
import org.teaseltrail.core.forward.DrainSchedule;

/**
 * Handles one caller's HTTP/1.1 connection. Pipelined requests are processed one at a time, in
 * their order; a caller that pipelines too many loses the connection.
 */
final class CallerConnection extends ChannelInboundHandlerAdapter
    implements BodyGate.Listener, RequestAggregator.Listener, HeadBudget.Holder {

  /** Time for a caller to receive its refusal before the connection is closed; some round trips. */
  private static final long LINGER_MS = 500;

  /** Time after which a caller whose body found no room may come back. */
  private static final long NO_ROOM_RETRY_AFTER_MS = 1_000;

  private final ForwardServer server;
  private final boolean isPeer;
  private final RequestPipeline pipeline = new RequestPipeline();
  private BodyGate gate;
  private Channel channel;
  private Exchange current;
  private boolean closing;
  private boolean continueOwed;
  private long lastActiveNs = System.nanoTime();
  private boolean midRequest;
  private boolean midHead;
  private long headReadNs;
  private long bodyTimeoutNs;
  private HttpServerCodec codec;
  private long halfHeadBytes;
  private boolean gaveWay;

  /**
   * Creates a connection.
   *
   * @param isPeer whether a peer, instead of a caller, has opened it to relay requests
   */
  CallerConnection(ForwardServer server, boolean isPeer) {
    this.server = server;
    this.isPeer = isPeer;
  }

  /** Sets the handler that lets requests with large bodies wait. */
  void setGate(BodyGate bodyGate) {
    gate = bodyGate;
  }

  /** Sets the handler that decodes requests. */
  void setCodec(HttpServerCodec httpCodec) {
    codec = httpCodec;
  }

  @Override
  public void onHead(OptionalLong deadlineMs) {
    midHead = false;
    releaseHalfHead();
    lastActiveNs = System.nanoTime();
    bodyTimeoutNs = TimeUnit.MILLISECONDS.toNanos(deadlineMs.orElse(Long.MAX_VALUE));
    headReadNs = lastActiveNs;
  }

  @Override
  public void onRoom() {
    lastActiveNs = System.nanoTime();
  }

  @Override
  public void onNoRoom() {
    server.onBodyRefused();
    refuse(HttpResponseStatus.SERVICE_UNAVAILABLE, "no room for the body", NO_ROOM_RETRY_AFTER_MS);
  }

  @Override
  public void onTooLarge() {
    refuse(HttpResponseStatus.REQUEST_ENTITY_TOO_LARGE, "the body is too large");
  }

  @Override
  public void onUnsupportedExpectation() {
    refuse(HttpResponseStatus.EXPECTATION_FAILED, "the expectation is not supported");
  }

  @Override
  public void onContinueExpected() {
    continueOwed = true;
    writeOwedContinue();
  }

  /** Lets the caller send a body, but not in the middle of the answer to an earlier request. */
  private void writeOwedContinue() {
    if (continueOwed && current == null && !closing) {
      continueOwed = false;
      channel.writeAndFlush(
          new DefaultFullHttpResponse(HttpVersion.HTTP_1_1, HttpResponseStatus.CONTINUE));
    }
  }

  @Override
  public void channelActive(ChannelHandlerContext context) {
    channel = context.channel();
    server.onCallerConnected(this);
  }

  /** Records that bytes were received, before they are decoded. */
  void onBytesReceived() {
    if (current == null && !midRequest) {
      midRequest = true;
      midHead = true;
      lastActiveNs = System.nanoTime();
    } else if (!midHead) {
      lastActiveNs = System.nanoTime();
    }
  }

  /**
   * Counts the memory of a head that isn't whole after its bytes are decoded.
   *
   * @param sizeBytes memory that the bytes take as a part of a head
   */
  void onBytesDecoded(long sizeBytes) {
    if (!midHead || gaveWay) {
      return;
    }
    if (server.headBudget().tryReservePart(this, sizeBytes)) {
      halfHeadBytes += sizeBytes;
    } else {
      giveWay();
    }
  }

  /** Ends a request whose head isn't whole; what is decoded of it is dropped at once. */
  @Override
  public void giveWay() {
    gaveWay = true;
    releaseHalfHead();
    server.onHeadRefused();
    refuse(HttpResponseStatus.SERVICE_UNAVAILABLE, "no room for the head", NO_ROOM_RETRY_AFTER_MS);
    channel.pipeline().remove(codec);
  }

  private void releaseHalfHead() {
    server.headBudget().releaseParts(this, halfHeadBytes);
    halfHeadBytes = 0;
  }

  @Override
  public void channelRead(ChannelHandlerContext context, Object message) {
    midRequest = false;
    midHead = false;
    continueOwed = false;
    lastActiveNs = System.nanoTime();
    if (message instanceof HttpObject object && object.decoderResult().isFailure()) {
      ReferenceCountUtil.release(message);
      refuseMalformed(object.decoderResult().cause());
      return;
    }
    if (!(message instanceof FullHttpRequest request) || closing) {
      ReferenceCountUtil.release(message);
      return;
    }
    if (pipeline.add(request)) {
      startNext();
    } else {
      request.release();
      channel.close();
    }
  }

  @Override
  public void channelWritabilityChanged(ChannelHandlerContext context) {
    if (current != null) {
      current.onCallerWritabilityChanged(channel.isWritable());
    }
  }

  @Override
  public void exceptionCaught(ChannelHandlerContext context, Throwable cause) {
    if (cause instanceof IOException) {
      context.close();
    } else if (current == null) {
      server.onFailed(cause);
      context.close();
    } else {
      closing = true;
      server.onFailed(current, cause);
    }
  }

  @Override
  public void channelInactive(ChannelHandlerContext context) {
    releaseHalfHead();
    server.onCallerConnectionClosed(this);
    pipeline.clear();
    if (current != null) {
      Exchange left = current;
      current = null;
      server.onCallerDisconnected(left);
    }
  }

  boolean isPeer() {
    return isPeer;
  }

  boolean isWritable() {
    return channel.isWritable();
  }

  /**
   * Writes a part of the response. The head of a response states whether the connection stays open
   * after it.
   *
   * @return completes when the part has left the process, or can't any more
   */
  ChannelFuture write(Object part) {
    if (part instanceof HttpResponse head) {
      boolean isLastOfDrain = server.isDraining() && !pipeline.hasWaiting();
      closing = closing || isLastOfDrain || (current != null && !current.wantsKeepAlive());
      HttpUtil.setKeepAlive(head, !closing);
    }
    return channel.writeAndFlush(part);
  }

  /** Starts the next request after the response of the current one is complete. */
  void onResponseCompleted(Exchange exchange) {
    if (current != exchange) {
      return;
    }
    current = null;
    lastActiveNs = System.nanoTime();
    exchange.release();
    // A request that gets room here must queue behind those that were pipelined before it.
    gate.releaseOldest();
    pipeline.onCompleted();
    if (closing) {
      channel.writeAndFlush(channel.alloc().buffer(0)).addListener(ChannelFutureListener.CLOSE);
    } else {
      startNext();
      writeOwedContinue();
    }
  }

  /** Closes the connection in the middle of a response, so that it can't look complete. */
  void abort() {
    channel.close();
  }

  /** Closes the connection if it has been idle, or in the middle of a request, for too long. */
  void checkIdle(long nowNs, long idleTimeoutNs, long headerTimeoutNs) {
    if (current != null || gate.isWaiting()) {
      return;
    }
    long inactiveNs = nowNs - lastActiveNs;
    boolean isLate =
        midHead
            ? inactiveNs > headerTimeoutNs
            : inactiveNs > idleTimeoutNs || nowNs - headReadNs > bodyTimeoutNs;
    if (midRequest && isLate) {
      refuse(HttpResponseStatus.REQUEST_TIMEOUT, "the request was not sent in time");
    } else if (!midRequest && inactiveNs > idleTimeoutNs) {
      channel.close();
    }
  }

  /**
   * Closes an idle connection, and refuses a request that has not been read whole: it would not be
   * taken any more. A peer's request is read on: the peer tries another one only if it is told that
   * the request was declined, which can't be told of one whose head is unknown.
   */
  void stopAccepting() {
    if (current == null && midRequest && !isPeer) {
      refuse(
          HttpResponseStatus.SERVICE_UNAVAILABLE,
          "this VM is shutting down",
          DrainSchedule.RETRY_AFTER_MS);
    } else if (current == null && !midRequest && !hasUnsent()) {
      channel.close();
    }
  }

  /** Returns whether a part of an answer has not left the process yet. */
  boolean hasUnsent() {
    ChannelOutboundBuffer unsent = channel.unsafe().outboundBuffer();
    return unsent != null && unsent.totalPendingWriteBytes() > 0;
  }

  private void startNext() {
    pipeline.takeNext().ifPresent(this::startExchange);
  }

  private void startExchange(FullHttpRequest request) {
    try {
      current = server.createExchange(this, request);
    } catch (MalformedRequestException e) {
      request.release();
      refuse(HttpResponseStatus.BAD_REQUEST, e.getMessage());
      return;
    }
    server.onRequest(current);
  }

  private void refuseMalformed(Throwable cause) {
    boolean tooLong =
        cause instanceof TooLongHttpHeaderException || cause instanceof TooLongHttpLineException;
    if (tooLong) {
      refuse(HttpResponseStatus.REQUEST_HEADER_FIELDS_TOO_LARGE, "the headers are too long");
    } else {
      refuse(HttpResponseStatus.BAD_REQUEST, "not an HTTP/1.1 request");
    }
  }

  /**
   * Rejects a request that can't be read and closes the connection, since the start of the next
   * request is unknown. While an earlier request awaits its answer, that answer is the last one: a
   * refusal would be taken for it.
   */
  private void refuse(HttpResponseStatus status, String reason) {
    refuse(status, reason, 0);
  }

  private void refuse(HttpResponseStatus status, String reason, long retryAfterMs) {
    boolean isUnanswered = current != null || closing;
    closing = true;
    if (isUnanswered) {
      return;
    }
    var answer = LocalReplyFactory.create(server.headerCodec(), status, reason, "", retryAfterMs);
    HttpUtil.setKeepAlive(answer, false);
    channel.writeAndFlush(answer).addListener(done -> lingerThenClose());
  }

  /**
   * Shuts down the output and keeps reading for a short time before it closes the connection
   * (lingering close).
   *
   * <p>Closing a connection with unread bytes resets it. A caller that is still sending the refused
   * request would then see the reset instead of the response. Bytes that arrive until the close are
   * discarded.
   */
  private void lingerThenClose() {
    if (channel instanceof DuplexChannel duplex) {
      duplex.shutdownOutput();
      channel.eventLoop().schedule(() -> channel.close(), LINGER_MS, TimeUnit.MILLISECONDS);
    } else {
      channel.close();
    }
  }
}
