package org.teaseltrail.forward;

import io.netty.buffer.ByteBuf;
import io.netty.buffer.Unpooled;
import io.netty.handler.codec.http.DefaultFullHttpRequest;
import io.netty.handler.codec.http.DefaultHttpContent;
import io.netty.handler.codec.http.FullHttpRequest;
import io.netty.handler.codec.http.HttpHeaderNames;
import io.netty.handler.codec.http.HttpMethod;
import io.netty.handler.codec.http.HttpResponse;
import io.netty.handler.codec.http.HttpStatusClass;
import io.netty.handler.codec.http.HttpUtil;
import io.netty.handler.codec.http.HttpVersion;
import java.util.Optional;
import java.util.Set;
import org.teaseltrail.core.forward.AttemptOutcome;
import org.teaseltrail.core.stream.StreamOrigin;
import org.teaseltrail.wire.http.AnswerFraming;

/**
 * One attempt to get a request answered over one connection. Event streams are forwarded event by
 * event; any other response is buffered until it is complete.
 */
abstract class ExchangeAttempt implements UpstreamResponseListener {

  static final double NS_PER_MS = 1e6;

  static final int MISDIRECTED_REQUEST = 421;
  private static final int TOO_MANY_REQUESTS = 429;
  private static final int SERVICE_UNAVAILABLE = 503;
  private static final int REQUEST_TIMEOUT = 408;

  /** Statuses that guarantee to a caller that its request did not run. */
  private static final Set<Integer> NOT_RUN_STATUSES =
      Set.of(TOO_MANY_REQUESTS, SERVICE_UNAVAILABLE, REQUEST_TIMEOUT, MISDIRECTED_REQUEST);

  private final ForwardServer server;
  private final Exchange exchange;
  private UpstreamConnection connection;
  private ResponseHead head;
  private int status;
  private boolean forwardsEvents;
  private boolean endsWithConnection;
  private long statedBytes;
  private boolean ended;
  private long sentNs;
  private long firstEventNs;
  private long lastEventNs;
  private long eventsInFirstRead;
  private ByteBuf pendingEvents = Unpooled.EMPTY_BUFFER;

  ExchangeAttempt(ForwardServer server, Exchange exchange) {
    this.server = server;
    this.exchange = exchange;
  }

  /** Starts the attempt: acquires a connection. */
  abstract void start();

  /** Returns a connection that is not needed to its pool. */
  abstract void giveBack(UpstreamConnection made);

  /** Returns whether the request may still be sent now that there is a connection. */
  abstract boolean canSend();

  /** Adds the headers for the receiver to a copy of the caller's request. */
  abstract void writeHeaders(FullHttpRequest call);

  /** Handles the head of the response; returns whether the response may go to the caller. */
  abstract boolean onHead(HttpResponse response, ResponseHead read);

  /** Handles the end of a response that was received completely. */
  abstract void onCompleted();

  /** Returns what a stream that the attempt forwards was begun by, if a peer has to be told. */
  abstract Optional<StreamOrigin> origin();

  /** Reports the end of the attempt. */
  abstract void report(AttemptOutcome outcome);

  final ForwardServer server() {
    return server;
  }

  final Exchange exchange() {
    return exchange;
  }

  final ResponseHead head() {
    return head;
  }

  final int status() {
    return status;
  }

  final boolean forwardsEvents() {
    return forwardsEvents;
  }

  final boolean isSuccess() {
    return HttpStatusClass.valueOf(status) == HttpStatusClass.SUCCESS;
  }

  /** Returns whether the response is a success that no upstream has signed. */
  final boolean isUnsignedSuccess() {
    return isSuccess() && !head.signed();
  }

  /** Returns whether the status guarantees to a caller that its request did not run. */
  final boolean guaranteesNotRun() {
    return NOT_RUN_STATUSES.contains(status);
  }

  final void onConnected(UpstreamConnection made) {
    runOrEnd(() -> send(made));
  }

  private void send(UpstreamConnection made) {
    if (ended) {
      giveBack(made);
      return;
    }
    if (!canSend()) {
      giveBack(made);
      end(AttemptOutcome.WITHHELD);
      return;
    }
    connection = made;
    sentNs = System.nanoTime();
    made.send(request(), this);
  }

  final void onConnectFailed() {
    runOrEnd(() -> end(AttemptOutcome.NOT_CONNECTED));
  }

  /** Runs a step after which nothing else would end the attempt if it failed. */
  private void runOrEnd(Runnable step) {
    try {
      step.run();
    } catch (RuntimeException | Error e) {
      server.onFailed(exchange, e);
    }
  }

  final void abort() {
    ended = true;
    if (connection != null) {
      connection.abort();
    }
  }

  final void setCallerWritable(boolean writable) {
    if (connection != null && !ended) {
      connection.setCallerWritable(writable);
    }
  }

  @Override
  public final String requestId() {
    return exchange.request().id();
  }

  @Override
  public final void headReceived(HttpResponse response, ResponseHead read) {
    head = read;
    status = response.status().code();
    endsWithConnection = AnswerFraming.endsWithConnection(response, exchange.method());
    statedBytes = HttpUtil.getContentLength(response, AnswerRoom.UNKNOWN_BYTES);
    boolean forwardable = onHead(response, read);
    forwardsEvents = forwardable && isSuccess() && read.signed() && read.eventStream();
    if (forwardable) {
      exchange.setResponseHead(response);
    }
  }

  @Override
  public final void bodyReceived(ByteBuf part) {
    if (!forwardsEvents) {
      if (!exchange.buffer(part)) {
        breakOff();
      } else if (!exchange.reserveRoom(statedBytes, this::onRoom)) {
        connection.setRoomMissing(true);
      }
      return;
    }
    byte[] bytes = new byte[part.readableBytes()];
    part.readBytes(bytes);
    try {
      collect(exchange.events().decode(bytes));
      if (exchange.events().isAtOtherAnswer()) {
        breakOff();
      } else if (!exchange.reserveEventRoom(this::onRoom)) {
        connection.setRoomMissing(true);
      }
    } catch (SseEventFramer.OversizedEventException e) {
      breakOff();
    }
  }

  private void breakOff() {
    connection.abort();
    end(AttemptOutcome.BROKEN);
  }

  private void onRoom() {
    if (connection != null && !ended) {
      connection.setRoomMissing(false);
    }
  }

  @Override
  public void readCompleted() {
    forwardPendingEvents();
    if (firstEventNs > 0 && !ended) {
      server.readCoalescer().hold(connection, System.nanoTime() - firstEventNs);
    }
  }

  /** The connection is back in its pool, or closed, so the attempt must no longer touch it. */
  @Override
  public final void completed() {
    connection = null;
    runOrEnd(
        () -> {
          forwardPendingEvents();
          onCompleted();
        });
  }

  @Override
  public final void failed(AttemptOutcome outcome) {
    end(outcome);
  }

  final void end(AttemptOutcome outcome) {
    if (ended) {
      return;
    }
    forwardPendingEvents();
    ended = true;
    exchange.onAttemptEnded();
    report(outcome);
  }

  /**
   * Returns whether a stream that has ended is whole. One that ended inside an event is not, nor
   * one that ended with its connection before any event: its sender has probably crashed.
   */
  final boolean isStreamWhole() {
    boolean hasEvents = firstEventNs > 0;
    return exchange.events().isAtEventBoundary() && (hasEvents || !endsWithConnection);
  }

  /** Returns the mean interval between events in milliseconds, 0 if there was at most one read. */
  final double meanEventIntervalMs() {
    long laterEvents = exchange.events().forwardedEvents() - eventsInFirstRead;
    return firstEventNs > 0 && laterEvents > 0
        ? (lastEventNs - firstEventNs) / NS_PER_MS / laterEvents
        : 0;
  }

  /** Returns the time since the request was sent, in milliseconds. */
  final double elapsedMs() {
    return (System.nanoTime() - sentNs) / NS_PER_MS;
  }

  private FullHttpRequest request() {
    FullHttpRequest received = exchange.received();
    FullHttpRequest call =
        new DefaultFullHttpRequest(
            HttpVersion.HTTP_1_1,
            received.method(),
            received.uri(),
            received.content().retainedDuplicate());
    call.headers().set(received.headers());
    HopByHopHeaders.remove(call.headers());
    writeHeaders(call);
    call.headers().remove(HttpHeaderNames.CONTENT_LENGTH);
    boolean carriesBody =
        received.content().isReadable() || !received.method().equals(HttpMethod.GET);
    if (carriesBody) {
      HttpUtil.setContentLength(call, received.content().readableBytes());
    }
    return call;
  }

  private void collect(byte[] completeEvents) {
    if (completeEvents.length > 0) {
      pendingEvents = pendingEvents.isReadable() ? pendingEvents : server.allocateBuffer();
      pendingEvents.writeBytes(completeEvents);
    }
  }

  /** Forwards the events of one read in one write. */
  private void forwardPendingEvents() {
    if (!pendingEvents.isReadable()) {
      return;
    }
    final ByteBuf completeEvents = pendingEvents;
    pendingEvents = Unpooled.EMPTY_BUFFER;
    boolean first = firstEventNs == 0;
    recordEventTimes();
    if (!exchange.hasResponseStarted()) {
      exchange.startStream(origin());
    }
    if (first) {
      server.onResponseStarted(exchange);
    }
    if (!exchange.write(new DefaultHttpContent(completeEvents))) {
      setCallerWritable(false);
    }
  }

  private void recordEventTimes() {
    long nowNs = System.nanoTime();
    if (firstEventNs == 0) {
      firstEventNs = nowNs;
      eventsInFirstRead = exchange.events().forwardedEvents();
    } else {
      exchange.recordEventGap(nowNs - lastEventNs);
    }
    lastEventNs = nowNs;
  }
}
