package org.teaseltrail.forward;

import io.netty.channel.Channel;
import io.netty.channel.ChannelFutureListener;
import io.netty.channel.ChannelHandlerContext;
import io.netty.channel.ChannelInboundHandlerAdapter;
import io.netty.channel.socket.DuplexChannel;
import io.netty.handler.codec.http.FullHttpRequest;
import io.netty.handler.codec.http.HttpObject;
import io.netty.handler.codec.http.HttpResponse;
import io.netty.handler.codec.http.HttpResponseStatus;
import io.netty.handler.codec.http.HttpUtil;
import io.netty.handler.codec.http.TooLongHttpHeaderException;
import io.netty.handler.codec.http.TooLongHttpLineException;
import io.netty.util.ReferenceCountUtil;
import java.util.ArrayDeque;
import java.util.Deque;
import java.util.concurrent.TimeUnit;

/** Is one caller's connection. Its requests are answered one after the other, in their order. */
final class CallerConnection extends ChannelInboundHandlerAdapter {

  /** Requests that a caller may send ahead of its answers. */
  private static final int MAX_AHEAD = 16;

  /** Time for a caller to take its refusal; some round trips. */
  private static final long LINGER_MS = 500;

  private final ForwardServer server;
  private final Deque<FullHttpRequest> ahead = new ArrayDeque<>();
  private Channel channel;
  private Exchange current;
  private boolean closing;
  private long lastActiveNs = System.nanoTime();
  private boolean midRequest;

  CallerConnection(ForwardServer server) {
    this.server = server;
  }

  @Override
  public void channelActive(ChannelHandlerContext context) {
    channel = context.channel();
    server.opened(this);
  }

  /** Notes that bytes have come, before they are understood. */
  void bytesCame() {
    if (current == null && !midRequest) {
      midRequest = true;
      lastActiveNs = System.nanoTime();
    }
  }

  @Override
  public void channelRead(ChannelHandlerContext context, Object message) {
    midRequest = false;
    lastActiveNs = System.nanoTime();
    if (message instanceof HttpObject object && object.decoderResult().isFailure()) {
      ReferenceCountUtil.release(message);
      malformed(object.decoderResult().cause());
      return;
    }
    if (!(message instanceof FullHttpRequest request) || closing) {
      ReferenceCountUtil.release(message);
      return;
    }
    if (current == null) {
      begin(request);
    } else if (ahead.size() < MAX_AHEAD) {
      ahead.addLast(request);
    } else {
      request.release();
      channel.close();
    }
  }

  @Override
  public void channelWritabilityChanged(ChannelHandlerContext context) {
    if (current != null) {
      current.callerWritable(channel.isWritable());
    }
  }

  @Override
  public void exceptionCaught(ChannelHandlerContext context, Throwable cause) {
    context.close();
  }

  @Override
  public void channelInactive(ChannelHandlerContext context) {
    server.closed(this);
    ahead.forEach(ReferenceCountUtil::release);
    ahead.clear();
    if (current != null) {
      Exchange left = current;
      current = null;
      server.callerLeft(left);
    }
  }

  boolean isWritable() {
    return channel.isWritable();
  }

  /** Writes a part of the answer. The head of an answer says whether the connection goes on. */
  void write(Object part) {
    if (part instanceof HttpResponse head) {
      closing = closing || server.isDraining() || (current != null && !current.wantsKeepAlive());
      HttpUtil.setKeepAlive(head, !closing);
    }
    channel.writeAndFlush(part);
  }

  /** Goes on to the next request, now that this one has its answer. */
  void answered(Exchange exchange) {
    if (current != exchange) {
      return;
    }
    current = null;
    lastActiveNs = System.nanoTime();
    exchange.release();
    if (closing) {
      channel.writeAndFlush(channel.alloc().buffer(0)).addListener(ChannelFutureListener.CLOSE);
    } else if (!ahead.isEmpty()) {
      begin(ahead.pollFirst());
    }
  }

  /** Ends the connection in the middle of an answer, so that it can't look whole. */
  void breakOff() {
    channel.close();
  }

  /** Ends a connection that has been idle, or in the middle of a request, for too long. */
  void checkIdle(long nowNs, long idleTimeoutNs, long headerTimeoutNs) {
    if (current != null) {
      return;
    }
    long quietNs = nowNs - lastActiveNs;
    if (midRequest && quietNs > headerTimeoutNs) {
      refuse(HttpResponseStatus.REQUEST_TIMEOUT, "the request was not sent in time");
    } else if (!midRequest && quietNs > idleTimeoutNs) {
      channel.close();
    }
  }

  boolean isIdle() {
    return current == null && !midRequest;
  }

  void close() {
    channel.close();
  }

  private void begin(FullHttpRequest request) {
    try {
      current = server.exchange(this, request);
    } catch (MalformedRequestException e) {
      request.release();
      refuse(HttpResponseStatus.BAD_REQUEST, e.getMessage());
      return;
    }
    server.arrived(current);
  }

  private void malformed(Throwable cause) {
    boolean tooLong =
        cause instanceof TooLongHttpHeaderException || cause instanceof TooLongHttpLineException;
    if (tooLong) {
      refuse(HttpResponseStatus.REQUEST_HEADER_FIELDS_TOO_LARGE, "the headers are too long");
    } else {
      refuse(HttpResponseStatus.BAD_REQUEST, "not an HTTP/1.1 request");
    }
  }

  /** Answers what is no request, and ends the connection: what follows can't be told apart. */
  private void refuse(HttpResponseStatus status, String reason) {
    if (current != null) {
      channel.close();
      return;
    }
    closing = true;
    var answer = OwnAnswer.of(server.dialect(), status, reason, "", 0);
    HttpUtil.setKeepAlive(answer, false);
    channel.writeAndFlush(answer).addListener(done -> lingerThenClose());
  }

  /**
   * Ends what goes out, and reads on for a moment before the connection is closed.
   *
   * <p>Guards against an answer that is lost on its way: to close a connection with unread bytes
   * resets it, and the caller, still sending what was refused, sees the reset instead of the
   * answer. What comes until the end is left out.
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
