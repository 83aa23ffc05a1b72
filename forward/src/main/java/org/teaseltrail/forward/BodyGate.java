package org.teaseltrail.forward;

import io.netty.buffer.ByteBufUtil;
import io.netty.buffer.Unpooled;
import io.netty.channel.ChannelHandlerContext;
import io.netty.channel.ChannelInboundHandlerAdapter;
import io.netty.handler.codec.http.HttpContent;
import io.netty.handler.codec.http.HttpRequest;
import io.netty.handler.codec.http.HttpUtil;
import io.netty.util.ReferenceCountUtil;
import io.netty.util.concurrent.Future;
import java.util.ArrayDeque;
import java.util.Deque;
import java.util.OptionalLong;
import java.util.concurrent.TimeUnit;

/**
 * Lets a caller's connection be read further only once there is room for the body of its request.
 *
 * <p>Guards against bodies that use up the memory for network buffers: the runtime then waits for
 * memory on the event loop, and all other requests of the process wait with it. For the same reason
 * each part of a body is copied out of the network buffer that it came in, which may be several
 * times as large.
 */
final class BodyGate extends ChannelInboundHandlerAdapter implements BodyBudget.Waiter {

  /** Receives what becomes known of a request before it is whole. */
  interface Listener {

    /**
     * The head of a request was read whole.
     *
     * @param deadlineMs time for which its caller waits, in milliseconds, if it names one
     */
    void onHead(OptionalLong deadlineMs);

    /** The body has room now. */
    void onRoom();

    /** No room was found in time, so the request is not taken. */
    void onNoRoom();
  }

  /** Bodies up to this size need no room, so that small requests never wait. */
  private static final long FREE_BYTES = 4 * 1024;

  /** Time for which a request waits for room if its caller names no deadline, and at most. */
  private static final long MAX_WAIT_MS = 3_000;

  private static final long NONE = 0;

  /** What a request takes of the budgets of bodies and of heads. */
  private record Reserved(long bodyBytes, long headBytes) {}

  private enum State {
    /** Messages pass. */
    OPEN,
    /** Messages are held, and the connection is not read, until there is room. */
    WAITING,
    /** The request is refused; what still arrives of it is dropped. */
    REFUSED
  }

  private final BodyBudget budget;
  private final HeadBudget headBudget;
  private final HeaderCodec headerCodec;
  private final int maxBodyBytes;
  private final Listener listener;
  private final Deque<Object> held = new ArrayDeque<>();
  private final Deque<Reserved> reserved = new ArrayDeque<>();
  private ChannelHandlerContext context;
  private Future<?> timeout;
  private long neededBytes;
  private long headBytes;
  private State state = State.OPEN;

  BodyGate(
      BodyBudget budget,
      HeadBudget headBudget,
      HeaderCodec headerCodec,
      int maxBodyBytes,
      Listener listener) {
    this.budget = budget;
    this.headBudget = headBudget;
    this.headerCodec = headerCodec;
    this.maxBodyBytes = maxBodyBytes;
    this.listener = listener;
  }

  @Override
  public void handlerAdded(ChannelHandlerContext added) {
    context = added;
  }

  boolean isWaiting() {
    return state == State.WAITING;
  }

  /** Gives back what the oldest request of the connection had reserved. */
  void releaseOldest() {
    if (!reserved.isEmpty()) {
      Reserved oldest = reserved.pollFirst();
      headBudget.release(oldest.headBytes());
      budget.release(oldest.bodyBytes());
    }
  }

  @Override
  public void channelRead(ChannelHandlerContext reading, Object message) {
    if (message instanceof HttpRequest request) {
      listener.onHead(headerCodec.readDeadlineMs(request));
    }
    if (state == State.REFUSED) {
      ReferenceCountUtil.release(message);
    } else if (state == State.WAITING) {
      held.addLast(compact(message));
    } else if (message instanceof HttpRequest head && !reserveHead(head)) {
      refuse();
    } else if (message instanceof HttpRequest head && !reserve(head)) {
      held.addLast(message);
      startWaiting(head);
    } else {
      reading.fireChannelRead(compact(message));
    }
  }

  /** Returns a message with a copy of its part of a body in the place of that part. */
  private static Object compact(Object message) {
    if (!(message instanceof HttpContent content) || !content.content().isReadable()) {
      return message;
    }
    byte[] bytes = ByteBufUtil.getBytes(content.content());
    HttpContent copy = content.replace(Unpooled.wrappedBuffer(bytes));
    content.release();
    return copy;
  }

  @Override
  public void channelInactive(ChannelHandlerContext closed) {
    stopWaiting(State.REFUSED);
    dropHeld();
    while (!reserved.isEmpty()) {
      releaseOldest();
    }
    closed.fireChannelInactive();
  }

  @Override
  public long neededBytes() {
    return neededBytes;
  }

  @Override
  public void onReserved() {
    reserved.addLast(new Reserved(neededBytes, headBytes));
    headBytes = NONE;
    stopWaiting(State.OPEN);
    listener.onRoom();
    context.fireChannelRead(held.pollFirst());
    passHeld();
    if (state == State.OPEN) {
      context.fireChannelReadComplete();
      context.channel().config().setAutoRead(true);
    }
  }

  /** Passes what is held, up to the next request that has to wait. */
  private void passHeld() {
    while (!held.isEmpty() && state == State.OPEN) {
      if (held.peekFirst() instanceof HttpRequest head && !reserveHead(head)) {
        refuse();
      } else if (held.peekFirst() instanceof HttpRequest request && !reserve(request)) {
        startWaiting(request);
      } else {
        context.fireChannelRead(held.pollFirst());
      }
    }
  }

  /** Takes the memory of a head, and of a body that is too small for the budget of bodies. */
  private boolean reserveHead(HttpRequest request) {
    long bytes =
        HeadBudget.sizeBytes(request.headers())
            + request.uri().length()
            + smallBodyBytesOf(request);
    headBytes = headBudget.tryReserve(bytes) ? bytes : NONE;
    return headBytes > NONE;
  }

  private static long smallBodyBytesOf(HttpRequest request) {
    long bytes =
        request.decoderResult().isFailure() ? NONE : HttpUtil.getContentLength(request, 0L);
    return bytes <= FREE_BYTES ? bytes : NONE;
  }

  private boolean reserve(HttpRequest request) {
    neededBytes = neededBytesOf(request);
    boolean hasRoom = neededBytes == NONE || budget.tryReserve(neededBytes);
    if (hasRoom) {
      reserved.addLast(new Reserved(neededBytes, headBytes));
      headBytes = NONE;
    }
    return hasRoom;
  }

  /** A body of unknown length may become as large as it is allowed to; a larger one is not read. */
  private long neededBytesOf(HttpRequest request) {
    if (request.decoderResult().isFailure()) {
      return NONE;
    }
    boolean isChunked = HttpUtil.isTransferEncodingChunked(request);
    long bytes = isChunked ? maxBodyBytes : HttpUtil.getContentLength(request, 0L);
    return bytes <= FREE_BYTES || bytes > maxBodyBytes ? NONE : bytes;
  }

  private void startWaiting(HttpRequest request) {
    state = State.WAITING;
    context.channel().config().setAutoRead(false);
    budget.await(this);
    long waitMs =
        Math.min(MAX_WAIT_MS, headerCodec.readDeadlineMs(request).orElse(MAX_WAIT_MS) / 2);
    timeout = context.executor().schedule(this::giveUp, waitMs, TimeUnit.MILLISECONDS);
  }

  private void stopWaiting(State next) {
    state = next;
    budget.cancel(this);
    if (timeout != null) {
      timeout.cancel(false);
    }
  }

  private void refuse() {
    stopWaiting(State.REFUSED);
    dropHeld();
    listener.onNoRoom();
    context.channel().config().setAutoRead(true);
  }

  /**
   * Refuses the request. What still arrives of it is read and dropped: a caller that is reset while
   * it sends would not see the refusal.
   */
  private void giveUp() {
    refuse();
  }

  private void dropHeld() {
    headBudget.release(headBytes);
    headBytes = NONE;
    held.forEach(ReferenceCountUtil::release);
    held.clear();
  }
}
