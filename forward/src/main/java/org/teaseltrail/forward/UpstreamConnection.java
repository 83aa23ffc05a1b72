package org.teaseltrail.forward;

import io.netty.buffer.ByteBuf;
import io.netty.channel.Channel;
import io.netty.channel.ChannelFuture;
import io.netty.channel.ChannelHandlerContext;
import io.netty.channel.SimpleChannelInboundHandler;
import io.netty.handler.codec.http.FullHttpRequest;
import io.netty.handler.codec.http.HttpContent;
import io.netty.handler.codec.http.HttpObject;
import io.netty.handler.codec.http.HttpResponse;
import io.netty.handler.codec.http.HttpStatusClass;
import io.netty.handler.codec.http.HttpUtil;
import io.netty.handler.codec.http.LastHttpContent;
import org.teaseltrail.core.forward.AttemptOutcome;

/**
 * Is one connection to an upstream; it carries one request at a time.
 *
 * <p>Guards against answers that belong to no request: an upstream may send a second answer late,
 * where the next one is expected, or bytes after an answer. The guard: an answer with another
 * request's id is read and left out, anything that comes while nothing is asked ends the
 * connection, and a connection on which either was seen is not used again.
 */
final class UpstreamConnection extends SimpleChannelInboundHandler<HttpObject> {

  private static final long NS_PER_S = 1_000_000_000L;

  /** How long an idle connection is good for if the upstream doesn't say. */
  private static final long DEFAULT_KEEP_ALIVE_S = 8;

  /** Part of the told time for which a connection is used: the upstream closes it at the end. */
  private static final double USED_KEEP_ALIVE_PART = 0.5;

  private static final String KEEP_ALIVE = "Keep-Alive";
  private static final String TIMEOUT_PARAMETER = "timeout=";

  private final UpstreamPool pool;
  private final HeaderDialect dialect;
  private Channel channel;
  private UpstreamCall call;
  private ChannelFuture written;
  private boolean leftOut;
  private boolean informational;
  private boolean doubtful;
  private boolean reset;
  private boolean closesAfter;
  private long keepAliveNs = (long) (DEFAULT_KEEP_ALIVE_S * NS_PER_S * USED_KEEP_ALIVE_PART);
  private long idleSinceNs;
  private boolean held;
  private boolean callerFull;

  UpstreamConnection(UpstreamPool pool, HeaderDialect dialect) {
    this.pool = pool;
    this.dialect = dialect;
  }

  @Override
  public void handlerAdded(ChannelHandlerContext context) {
    channel = context.channel();
  }

  /** Sends a request whose answer the call hears of. */
  void send(FullHttpRequest request, UpstreamCall next) {
    call = next;
    doubtful = false;
    closesAfter = false;
    written = channel.writeAndFlush(request);
  }

  /** Breaks the request off; the upstream sees the connection close and stops work. */
  void abandon() {
    call = null;
    channel.close();
  }

  boolean isUsable(long nowNs) {
    return channel.isActive() && nowNs - idleSinceNs < keepAliveNs;
  }

  void close() {
    channel.close();
  }

  /** Stops or goes on reading, so that an answer doesn't pile up before a slow caller. */
  void readMore(boolean more) {
    callerFull = !more;
    readOrWait();
  }

  /** Lets what comes wait unread for a moment, or reads it. */
  void hold(boolean hold) {
    held = hold;
    readOrWait();
  }

  private void readOrWait() {
    channel.config().setAutoRead(!held && !callerFull);
  }

  @Override
  protected void channelRead0(ChannelHandlerContext context, HttpObject message) {
    if (call == null) {
      channel.close();
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
  }

  @Override
  public void channelReadComplete(ChannelHandlerContext context) {
    if (call != null) {
      call.partsRead();
    }
    context.fireChannelReadComplete();
  }

  @Override
  public void exceptionCaught(ChannelHandlerContext context, Throwable cause) {
    reset = true;
    context.close();
  }

  @Override
  public void channelInactive(ChannelHandlerContext context) {
    pool.forget(this);
    fail();
  }

  private void head(HttpResponse response) {
    informational = response.status().codeClass() == HttpStatusClass.INFORMATIONAL;
    if (informational) {
      return;
    }
    AnswerHead read = dialect.readAnswer(response);
    boolean own = read.requestId().map(call.requestId()::equals).orElse(true);
    leftOut = !own;
    if (leftOut) {
      doubtful = true;
      return;
    }
    closesAfter = !HttpUtil.isKeepAlive(response);
    readKeepAlive(response);
    call.head(response, read);
  }

  private void content(HttpContent content) {
    boolean last = content instanceof LastHttpContent;
    if (informational || leftOut) {
      return;
    }
    ByteBuf part = content.content();
    if (part.isReadable() && call != null) {
      call.body(part);
    }
    if (last && call != null) {
      end();
    }
  }

  /** Ends a request whose answer is whole, unless its connection broke where it had no length. */
  private void end() {
    if (reset) {
      fail();
      return;
    }
    held = false;
    callerFull = false;
    readOrWait();
    boolean bodyRead = written.isDone() && written.isSuccess();
    UpstreamCall ended = call;
    call = null;
    if (doubtful || closesAfter || !bodyRead || !channel.isActive()) {
      channel.close();
    } else {
      idleSinceNs = System.nanoTime();
      pool.idle(this);
    }
    ended.complete();
  }

  private void fail() {
    UpstreamCall ended = call;
    call = null;
    channel.close();
    if (ended != null) {
      ended.failed(AttemptOutcome.BROKEN);
    }
  }

  private void readKeepAlive(HttpResponse response) {
    String told = response.headers().get(KEEP_ALIVE);
    if (told == null) {
      return;
    }
    for (String parameter : told.split(",")) {
      String trimmed = parameter.trim();
      if (trimmed.startsWith(TIMEOUT_PARAMETER)) {
        keepAliveNs = usedNs(trimmed.substring(TIMEOUT_PARAMETER.length()));
      }
    }
  }

  private long usedNs(String seconds) {
    try {
      return (long) (Long.parseLong(seconds.trim()) * NS_PER_S * USED_KEEP_ALIVE_PART);
    } catch (NumberFormatException e) {
      // A time that can't be read says nothing; what held before still holds.
      return keepAliveNs;
    }
  }
}
