package org.teaseltrail.forward;

import io.netty.buffer.ByteBuf;
import io.netty.buffer.Unpooled;
import io.netty.handler.codec.http.DefaultFullHttpRequest;
import io.netty.handler.codec.http.DefaultFullHttpResponse;
import io.netty.handler.codec.http.DefaultHttpContent;
import io.netty.handler.codec.http.DefaultHttpResponse;
import io.netty.handler.codec.http.FullHttpRequest;
import io.netty.handler.codec.http.HttpHeaderNames;
import io.netty.handler.codec.http.HttpMethod;
import io.netty.handler.codec.http.HttpResponse;
import io.netty.handler.codec.http.HttpResponseStatus;
import io.netty.handler.codec.http.HttpStatusClass;
import io.netty.handler.codec.http.HttpUtil;
import io.netty.handler.codec.http.HttpVersion;
import io.netty.handler.codec.http.LastHttpContent;
import java.util.Optional;
import java.util.Set;
import org.teaseltrail.core.forward.AttemptOutcome;
import org.teaseltrail.core.forward.ForwardAction;
import org.teaseltrail.core.forward.ForwardRequest;

/**
 * One request of a caller and its response. It forwards the request to one upstream after the other
 * until one responds, and keeps the body of the request until then for retries. Event streams are
 * forwarded event by event; any other response is buffered until it is complete, so that a
 * truncated one never looks complete and can be replaced by that of another upstream.
 */
final class Exchange {

  /** Maximum size of a buffered response; bounds the memory that one upstream can occupy here. */
  private static final int MAX_RESPONSE_BYTES = 8 * 1024 * 1024;

  private static final double NS_PER_MS = 1e6;
  private static final int TOO_MANY_REQUESTS = 429;
  private static final int SERVICE_UNAVAILABLE = 503;
  private static final int REQUEST_TIMEOUT = 408;
  private static final int MISDIRECTED_REQUEST = 421;
  private static final int FIRST_SERVER_ERROR = 500;

  /** Statuses that guarantee to a caller that its request did not run. */
  private static final Set<Integer> NOT_RUN_STATUSES =
      Set.of(TOO_MANY_REQUESTS, SERVICE_UNAVAILABLE, REQUEST_TIMEOUT, MISDIRECTED_REQUEST);

  private final ForwardServer server;
  private final CallerConnection caller;
  private final ForwardRequest request;
  private final FullHttpRequest received;
  private final boolean keepAlive;
  private final SseEventFramer events = new SseEventFramer();
  private Optional<Attempt> attempt = Optional.empty();
  private HttpResponse responseHead;
  private ByteBuf responseBody = Unpooled.EMPTY_BUFFER;
  private boolean headSent;
  private long maxEventGapNs;

  Exchange(
      ForwardServer server,
      CallerConnection caller,
      ForwardRequest request,
      FullHttpRequest received) {
    this.server = server;
    this.caller = caller;
    this.request = request;
    this.received = received;
    keepAlive = HttpUtil.isKeepAlive(received);
  }

  ForwardRequest request() {
    return request;
  }

  HttpMethod method() {
    return received.method();
  }

  boolean wantsKeepAlive() {
    return keepAlive;
  }

  boolean hasResponseStarted() {
    return headSent;
  }

  /** Returns the status of the buffered or started response, 0 if there is none, for the log. */
  int responseStatus() {
    return responseHead == null ? 0 : responseHead.status().code();
  }

  /** Returns the longest time between two reads of events, in milliseconds, for the log. */
  long maxEventGapMs() {
    return (long) (maxEventGapNs / NS_PER_MS);
  }

  /** Sends the request to an upstream. */
  void dispatch(ForwardAction.Dispatch dispatch) {
    Attempt next = new Attempt(dispatch);
    attempt = Optional.of(next);
    discardResponse();
    events.discardPartialEvent();
    server
        .pool()
        .acquire(
            dispatch.upstream().upstreamIncarnation(),
            dispatch.upstream().address(),
            next::onConnected,
            next::onConnectFailed);
  }

  /** Aborts the current attempt, if any. */
  void cancel() {
    attempt.ifPresent(Attempt::abort);
    attempt = Optional.empty();
  }

  /** Sends the caller the buffered response, or the end of the stream if one was started. */
  void deliver() {
    if (headSent) {
      caller.write(LastHttpContent.EMPTY_LAST_CONTENT);
    } else {
      ByteBuf body = responseBody;
      responseBody = Unpooled.EMPTY_BUFFER;
      DefaultFullHttpResponse response =
          new DefaultFullHttpResponse(HttpVersion.HTTP_1_1, responseHead.status(), body);
      response.headers().set(responseHead.headers());
      HopByHopHeaders.remove(response.headers());
      boolean bodiless = responseHead.status().code() == HttpResponseStatus.NO_CONTENT.code();
      if (!bodiless && !received.method().equals(HttpMethod.HEAD)) {
        HttpUtil.setContentLength(response, body.readableBytes());
      }
      caller.write(response);
    }
    caller.onResponseCompleted(this);
  }

  /** Refuses the request with a local reply, or aborts the connection if a stream was started. */
  void refuse(HttpResponseStatus status, String reason, long retryAfterMs) {
    if (headSent) {
      // A broken stream must not look complete; without the last chunk it does not.
      caller.abort();
      return;
    }
    caller.write(
        LocalReplyFactory.create(server.headerCodec(), status, reason, request.id(), retryAfterMs));
    caller.onResponseCompleted(this);
  }

  /** Aborts the current attempt and releases the buffers. */
  void release() {
    cancel();
    discardResponse();
    received.release();
  }

  /** Resumes or pauses reading from the upstream, so that it does not outpace the caller. */
  void onCallerWritabilityChanged(boolean writable) {
    attempt.ifPresent(current -> current.setCallerWritable(writable));
  }

  private void discardResponse() {
    responseBody.release();
    responseBody = Unpooled.EMPTY_BUFFER;
  }

  private void keep(ByteBuf part) {
    if (responseBody == Unpooled.EMPTY_BUFFER) {
      responseBody = server.allocateBuffer();
    }
    responseBody.writeBytes(part);
  }

  private void startStream() {
    DefaultHttpResponse head = new DefaultHttpResponse(HttpVersion.HTTP_1_1, responseHead.status());
    head.headers().set(responseHead.headers());
    HopByHopHeaders.remove(head.headers());
    head.headers().remove(HttpHeaderNames.CONTENT_LENGTH);
    HttpUtil.setTransferEncodingChunked(head, true);
    caller.write(head);
    headSent = true;
  }

  /** One attempt of the request at one upstream. */
  private final class Attempt implements UpstreamResponseListener {

    private final ForwardAction.Dispatch dispatch;
    private final long dispatchedNs = server.signalHandler().nowNs();
    private UpstreamConnection connection;
    private ResponseHead head;
    private int status;
    private boolean forwardsEvents;
    private boolean ended;
    private long sentNs;
    private long firstEventNs;
    private long lastEventNs;
    private long eventsInFirstRead;
    private ByteBuf pendingEvents = Unpooled.EMPTY_BUFFER;

    Attempt(ForwardAction.Dispatch dispatch) {
      this.dispatch = dispatch;
    }

    void onConnected(UpstreamConnection made) {
      if (ended) {
        server.pool().release(made);
        return;
      }
      if (!server.signalHandler().canSend(dispatch.upstream().upstreamIncarnation())) {
        server.pool().release(made);
        end(AttemptOutcome.WITHHELD);
        return;
      }
      connection = made;
      sentNs = System.nanoTime();
      made.send(upstreamRequest(), this);
    }

    void onConnectFailed() {
      end(AttemptOutcome.NOT_CONNECTED);
    }

    void abort() {
      ended = true;
      if (connection != null) {
        connection.abort();
      }
    }

    void setCallerWritable(boolean writable) {
      if (connection != null && !ended) {
        connection.setCallerWritable(writable);
      }
    }

    @Override
    public String requestId() {
      return request.id();
    }

    @Override
    public void headReceived(HttpResponse response, ResponseHead read) {
      head = read;
      status = response.status().code();
      boolean success = response.status().codeClass() == HttpStatusClass.SUCCESS;
      forwardsEvents = success && read.signed() && read.eventStream();
      read.load()
          .ifPresent(load -> server.onLoadReport(dispatch.upstream().upstreamIncarnation(), load));
      if (status != MISDIRECTED_REQUEST) {
        server.signalHandler().heard(dispatch.upstream(), read, dispatchedNs);
      }
      if (!headSent) {
        responseHead = response;
      }
    }

    @Override
    public void bodyReceived(ByteBuf part) {
      if (!forwardsEvents) {
        bufferBounded(part);
        return;
      }
      byte[] bytes = new byte[part.readableBytes()];
      part.readBytes(bytes);
      try {
        collect(events.decode(bytes));
      } catch (SseEventFramer.OversizedEventException e) {
        connection.abort();
        end(AttemptOutcome.BROKEN);
      }
    }

    @Override
    public void readCompleted() {
      server.onUpstreamHeard(dispatch.upstream().id());
      forwardPendingEvents();
      if (firstEventNs > 0 && !ended) {
        server.readCoalescer().hold(connection, System.nanoTime() - firstEventNs);
      }
    }

    @Override
    public void completed() {
      forwardPendingEvents();
      reportLatency();
      end(outcomeOfCompleteResponse());
    }

    @Override
    public void failed(AttemptOutcome end) {
      end(end);
    }

    private FullHttpRequest upstreamRequest() {
      FullHttpRequest call =
          new DefaultFullHttpRequest(
              HttpVersion.HTTP_1_1,
              received.method(),
              received.uri(),
              received.content().retainedDuplicate());
      call.headers().set(received.headers());
      HopByHopHeaders.remove(call.headers());
      server
          .headerCodec()
          .writeUpstreamHeaders(
              call.headers(),
              new UpstreamCallMetadata(
                  dispatch.upstream().id(),
                  dispatch.customer(),
                  dispatch.remainingMs(),
                  events.lastEventId()));
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
      if (!headSent) {
        startStream();
      }
      if (first) {
        server.onResponseStarted(Exchange.this);
      }
      caller.write(new DefaultHttpContent(completeEvents));
      if (!caller.isWritable()) {
        connection.setCallerWritable(false);
      }
    }

    private void recordEventTimes() {
      long nowNs = System.nanoTime();
      if (firstEventNs == 0) {
        firstEventNs = nowNs;
        eventsInFirstRead = events.forwardedEvents();
      } else {
        maxEventGapNs = Math.max(maxEventGapNs, nowNs - lastEventNs);
      }
      lastEventNs = nowNs;
    }

    /** Reports the mean interval between events, or the latency of a response without events. */
    private void reportLatency() {
      long laterEvents = events.forwardedEvents() - eventsInFirstRead;
      if (firstEventNs > 0 && laterEvents > 0) {
        double intervalMs = (lastEventNs - firstEventNs) / NS_PER_MS / laterEvents;
        server.recordEventInterval(Exchange.this, dispatch.upstream().id(), intervalMs);
      } else if (!forwardsEvents) {
        server.recordEventLatency(
            dispatch.upstream().id(), (System.nanoTime() - sentNs) / NS_PER_MS);
      }
    }

    private void bufferBounded(ByteBuf part) {
      if (responseBody.readableBytes() + part.readableBytes() > MAX_RESPONSE_BYTES) {
        connection.abort();
        end(AttemptOutcome.BROKEN);
      } else if (!headSent) {
        keep(part);
      }
    }

    /**
     * Returns the outcome of an attempt with a complete response. A status that guarantees "not
     * run" to a caller is trusted only if the upstream itself states that it did not run the
     * request; otherwise the request may have run.
     */
    private AttemptOutcome outcomeOfCompleteResponse() {
      if (status == MISDIRECTED_REQUEST) {
        return AttemptOutcome.MISDIRECTED;
      }
      if (head.notRun()) {
        return AttemptOutcome.REFUSED;
      }
      if (forwardsEvents) {
        return events.isAtEventBoundary() ? AttemptOutcome.ANSWERED : AttemptOutcome.BROKEN;
      }
      boolean success = status >= HttpResponseStatus.OK.code() && status < 300;
      if (NOT_RUN_STATUSES.contains(status) || (success && !head.signed()) || headSent) {
        return AttemptOutcome.BROKEN;
      }
      return status >= FIRST_SERVER_ERROR ? AttemptOutcome.FAILED_ANSWER : AttemptOutcome.ANSWERED;
    }

    private void end(AttemptOutcome end) {
      if (ended) {
        return;
      }
      forwardPendingEvents();
      ended = true;
      attempt = Optional.empty();
      server.onAttemptEnded(Exchange.this, end);
    }
  }
}
