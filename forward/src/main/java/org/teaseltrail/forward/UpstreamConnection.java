package org.teaseltrail.forward;

import io.netty.buffer.ByteBuf;
import io.netty.channel.Channel;
import io.netty.channel.ChannelFuture;
import io.netty.channel.ChannelHandlerContext;
import io.netty.channel.ChannelPipeline;
import io.netty.channel.SimpleChannelInboundHandler;
import io.netty.channel.socket.ChannelInputShutdownEvent;
import io.netty.handler.codec.http.FullHttpRequest;
import io.netty.handler.codec.http.HttpContent;
import io.netty.handler.codec.http.HttpDecoderConfig;
import io.netty.handler.codec.http.HttpMethod;
import io.netty.handler.codec.http.HttpObject;
import io.netty.handler.codec.http.HttpResponse;
import io.netty.handler.codec.http.HttpStatusClass;
import io.netty.handler.codec.http.HttpUtil;
import io.netty.handler.codec.http.LastHttpContent;
import java.io.IOException;
import java.util.Optional;
import java.util.OptionalInt;
import org.teaseltrail.core.forward.AttemptOutcome;
import org.teaseltrail.wire.http.AnswerDecoder;
import org.teaseltrail.wire.http.AnswerFraming;
import org.teaseltrail.wire.http.RequestEncoder;

/**
 * One HTTP/1.1 connection to an upstream, which handles one request at a time.
 *
 * <p>Guards against responses that belong to no request: an upstream may send a second response
 * late, where the next one is expected, or send bytes after a response. Therefore a response with
 * the id of another request is read and skipped, one without an id breaks the attempt unless no
 * other request was sent on the connection, one whose head holds a second status line breaks it
 * too, any data received while no request is in flight closes the connection, and a connection on
 * which any of these was seen is not reused. No connection carries two requests with one id.
 */
final class UpstreamConnection extends SimpleChannelInboundHandler<HttpObject> {

  private static final long NS_PER_S = 1_000_000_000L;
  private static final long NS_PER_MS = 1_000_000L;

  /** Idle timeout of an upstream that does not send one. */
  private static final long DEFAULT_KEEP_ALIVE_S = 8;

  /**
   * Fraction of the upstream's idle timeout for which an idle connection is reused, since the
   * upstream closes it when the timeout expires.
   */
  private static final double USED_KEEP_ALIVE_FRACTION = 0.5;

  private static final int MAX_HEADER_BYTES = 32 * 1024;

  private final UpstreamConnectionPool<?> pool;
  private final HeaderCodec dialect;
  private final SurplusLimit surplus = new SurplusLimit();
  private final SentRequests sent = new SentRequests();
  private final ReadPauses pauses = new ReadPauses();
  private final AnswerDecoder decoder =
      new AnswerDecoder(new HttpDecoderConfig().setMaxHeaderSize(MAX_HEADER_BYTES));
  private final long openedNs = System.nanoTime();
  private Channel channel;
  private UpstreamResponseListener responseListener;
  private ChannelFuture requestWrite;
  private Optional<AnswerInBody> otherAnswer = Optional.empty();
  private boolean skipping;
  private boolean informational;
  private boolean answerEnded;
  private boolean notReusable;
  private boolean reset;
  private boolean closeAfterResponse;
  private long keepAliveNs = (long) (DEFAULT_KEEP_ALIVE_S * NS_PER_S * USED_KEEP_ALIVE_FRACTION);
  private long idleSinceNs;
  private boolean idle;

  UpstreamConnection(UpstreamConnectionPool<?> pool, HeaderCodec dialect) {
    this.pool = pool;
    this.dialect = dialect;
  }

  /** Adds the codec and this connection to the pipeline of a channel. */
  void addTo(ChannelPipeline pipeline) {
    pipeline.addLast(new RequestEncoder(decoder), decoder, this);
  }

  @Override
  public void handlerAdded(ChannelHandlerContext context) {
    channel = context.channel();
  }

  /** Starts the time for which the connection may be idle. */
  void markIdle() {
    idle = true;
    idleSinceNs = System.nanoTime();
  }

  /** Sends a request and passes its response to the listener. */
  void send(FullHttpRequest request, UpstreamResponseListener listener) {
    responseListener = listener;
    sent.add(listener.requestId());
    idle = false;
    // A late second answer would have a length and no body.
    notReusable = request.method().equals(HttpMethod.HEAD);
    closeAfterResponse = false;
    surplus.reset();
    requestWrite = channel.writeAndFlush(request);
  }

  /** Aborts the request by closing the connection, on which the upstream stops processing it. */
  void abort() {
    responseListener = null;
    answerEnded = false;
    channel.close();
  }

  boolean isUsable(long nowNs) {
    return channel.isActive() && nowNs - idleSinceNs < keepAliveNs;
  }

  /** Returns whether the answer to a request could be told from those to the earlier ones. */
  boolean canCarry(String requestId) {
    return sent.canTellApart(requestId);
  }

  boolean isOpen() {
    return channel.isActive();
  }

  void close() {
    channel.close();
  }

  /**
   * Pauses or resumes reading, so that a response is not buffered for a slow caller. An idle
   * connection always reads: otherwise the next request would run and its response never be read.
   */
  void setCallerWritable(boolean writable) {
    pauses.set(channel, ReadPauses.Reason.CALLER_BLOCKED, !writable && !idle);
  }

  /** Pauses or resumes reading to coalesce events. */
  void hold(boolean hold) {
    pauses.set(channel, ReadPauses.Reason.COALESCING, hold);
  }

  /** Pauses or resumes reading while there is no room for the answer. */
  void setRoomMissing(boolean missing) {
    pauses.set(channel, ReadPauses.Reason.NO_ROOM, missing && !idle);
  }

  @Override
  protected void channelRead0(ChannelHandlerContext context, HttpObject message) {
    if (!isAwaiting()) {
      dropUnasked(message);
      return;
    }
    if (message.decoderResult().isFailure()) {
      fail();
      return;
    }
    if (message instanceof HttpResponse response) {
      head(response);
    }
    if (message instanceof HttpContent content) {
      content(content);
    }
    if (isAwaiting() && surplus.isPassed()) {
      fail();
    }
  }

  /** Returns whether a request is in flight whose answer has not ended. */
  private boolean isAwaiting() {
    return responseListener != null && !answerEnded;
  }

  /** Drops what arrives behind an answer, or while no request is in flight. */
  private void dropUnasked(HttpObject message) {
    if (message instanceof HttpResponse response) {
      reportUnexpected(UnexpectedAnswer.Handling.UNASKED, response);
    }
    closeAfterAnswer();
  }

  /** Keeps the start of a late answer from being read as the start of the next one. */
  private void onUnaskedBytes() {
    reportUnexpected(
        UnexpectedAnswer.Handling.UNASKED, Optional.empty(), UnexpectedAnswer.NO_STATUS);
    closeAfterAnswer();
  }

  /** Closes the connection, once the answer that has ended is passed on. */
  private void closeAfterAnswer() {
    if (answerEnded) {
      notReusable = true;
    } else {
      channel.close();
    }
  }

  @Override
  public void channelReadComplete(ChannelHandlerContext context) {
    if (!isAwaiting() && decoder.undecodedBytes() > 0) {
      onUnaskedBytes();
    }
    if (answerEnded) {
      complete();
    } else if (responseListener != null) {
      responseListener.readCompleted();
    }
    context.fireChannelReadComplete();
  }

  /** Closes a connection that the upstream has closed in order; what it sent is read by now. */
  @Override
  public void userEventTriggered(ChannelHandlerContext context, Object event) {
    if (event instanceof ChannelInputShutdownEvent) {
      channel.close();
    }
    context.fireUserEventTriggered(event);
  }

  @Override
  public void exceptionCaught(ChannelHandlerContext context, Throwable cause) {
    if (!(cause instanceof IOException)) {
      pool.onFailed(cause);
    }
    reset = true;
    context.close();
  }

  @Override
  public void channelInactive(ChannelHandlerContext context) {
    pool.remove(this, reset);
    if (answerEnded) {
      complete();
    } else {
      fail();
    }
  }

  private void head(HttpResponse response) {
    boolean isPlain = !JoinedHead.isJoined(response, dialect) && !decoder.endsHttp(response);
    informational = isPlain && response.status().codeClass() == HttpStatusClass.INFORMATIONAL;
    if (informational) {
      surplus.addHead();
      return;
    }
    ResponseHead read = dialect.readResponseHead(response);
    AnswerMatch match = isPlain ? match(response, read) : AnswerMatch.DOUBTFUL;
    skipping = match == AnswerMatch.OTHER;
    boolean hasOpenEnd = skipping || AnswerFraming.endsWithConnection(response, decoder.method());
    otherAnswer =
        hasOpenEnd ? Optional.of(new AnswerInBody(dialect, sent::contains)) : Optional.empty();
    switch (match) {
      case OWN -> acceptHead(response, read);
      case OTHER -> {
        reportUnexpected(UnexpectedAnswer.Handling.SKIPPED, response);
        surplus.addHead();
        notReusable = true;
      }
      case DOUBTFUL -> {
        reportUnexpected(UnexpectedAnswer.Handling.DOUBTED, response);
        fail();
      }
      default -> throw new IllegalStateException(match.name());
    }
  }

  /** A skipped answer without an end would be read on for as long as the connection is open. */
  private AnswerMatch match(HttpResponse response, ResponseHead read) {
    AnswerMatch match = sent.match(read.requestId());
    boolean isEndless =
        match == AnswerMatch.OTHER && AnswerFraming.endsWithConnection(response, decoder.method());
    return isEndless ? AnswerMatch.DOUBTFUL : match;
  }

  private void acceptHead(HttpResponse response, ResponseHead read) {
    closeAfterResponse =
        AnswerFraming.endsWithConnection(response, decoder.method())
            || !HttpUtil.isKeepAlive(response);
    // A second answer couldn't be told from that to the next request.
    notReusable |= read.requestId().isEmpty();
    KeepAliveTimeout.read(response.headers())
        .ifPresent(timeoutNs -> keepAliveNs = (long) (timeoutNs * USED_KEEP_ALIVE_FRACTION));
    responseListener.headReceived(response, read);
  }

  private void reportUnexpected(UnexpectedAnswer.Handling handling, HttpResponse response) {
    boolean isDecoded = response.decoderResult().isSuccess();
    reportUnexpected(
        handling,
        dialect.readResponseHead(response).requestId(),
        isDecoded ? response.status().code() : UnexpectedAnswer.NO_STATUS);
  }

  private void reportUnexpected(
      UnexpectedAnswer.Handling handling, Optional<String> named, int status) {
    boolean isAwaited = isAwaiting();
    pool.onUnexpectedAnswer(
        this,
        new UnexpectedAnswer(
            handling,
            isAwaited ? sent.last() : Optional.empty(),
            named,
            isAwaited ? sent.previous() : sent.last(),
            status,
            sent.count(),
            (System.nanoTime() - openedNs) / NS_PER_MS));
  }

  private void content(HttpContent content) {
    ByteBuf part = content.content();
    OptionalInt inFront =
        otherAnswer.map(finder -> finder.bytesInFrontOfAnswer(part)).orElse(OptionalInt.empty());
    if (inFront.isPresent()) {
      breakOffBeforeOtherAnswer(part.readSlice(inFront.getAsInt()));
      return;
    }
    if (informational || skipping) {
      surplus.addBody(part.readableBytes());
      return;
    }
    if (part.isReadable() && responseListener != null) {
      responseListener.bodyReceived(part);
    }
    if (content instanceof LastHttpContent && responseListener != null) {
      answerEnded = true;
    }
  }

  /** Passes on what belongs to the answer, and breaks it off where another one follows. */
  private void breakOffBeforeOtherAnswer(ByteBuf part) {
    if (!skipping && part.isReadable()) {
      responseListener.bodyReceived(part);
    }
    fail();
  }

  /**
   * Completes a request at the end of the read that has brought the end of its response. Before, a
   * next request could be sent on the connection although that read has brought more.
   */
  private void complete() {
    answerEnded = false;
    pauses.clear(channel);
    boolean bodyRead = requestWrite.isDone() && requestWrite.isSuccess();
    UpstreamResponseListener ended = responseListener;
    responseListener = null;
    if (notReusable || closeAfterResponse || !bodyRead) {
      channel.close();
    } else {
      markIdle();
      pool.release(this);
    }
    ended.completed();
  }

  private void fail() {
    UpstreamResponseListener ended = responseListener;
    responseListener = null;
    channel.close();
    if (ended != null) {
      ended.failed(AttemptOutcome.BROKEN);
    }
  }
}
