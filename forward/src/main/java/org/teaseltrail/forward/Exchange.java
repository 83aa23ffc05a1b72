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
 * Carries one request to upstreams and one answer back. It holds the request's body until the
 * answer is there; an answer without events is held until it is whole, so that a broken one never
 * looks whole and may be replaced by another upstream's.
 */
final class Exchange {

  /** Bytes of an answer without events at most; bounds what one upstream can make this VM hold. */
  private static final int MAX_ANSWER_BYTES = 8 * 1024 * 1024;

  private static final double NS_PER_MS = 1e6;
  private static final int TOO_MANY_REQUESTS = 429;
  private static final int SERVICE_UNAVAILABLE = 503;
  private static final int REQUEST_TIMEOUT = 408;
  private static final int MISDIRECTED_REQUEST = 421;
  private static final int FIRST_SERVER_ERROR = 500;

  /** Statuses that promise a caller that its request has not run. */
  private static final Set<Integer> PROMISES =
      Set.of(TOO_MANY_REQUESTS, SERVICE_UNAVAILABLE, REQUEST_TIMEOUT, MISDIRECTED_REQUEST);

  private final ForwardServer server;
  private final CallerConnection caller;
  private final ForwardRequest request;
  private final FullHttpRequest received;
  private final boolean keepAlive;
  private final EventBlocks events = new EventBlocks();
  private Optional<Attempt> attempt = Optional.empty();
  private HttpResponse answerHead;
  private ByteBuf answerBody = Unpooled.EMPTY_BUFFER;
  private boolean headSent;
  private long longestPauseNs;

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

  boolean hasBegun() {
    return headSent;
  }

  /** Returns the status of the answer that was kept or begun, for the log. */
  int answerStatus() {
    return answerHead == null ? 0 : answerHead.status().code();
  }

  /** Returns the longest time between two parts of the stream, in milliseconds, for the log. */
  long longestPauseMs() {
    return (long) (longestPauseNs / NS_PER_MS);
  }

  /** Sends the request to an upstream. */
  void dispatch(ForwardAction.Dispatch dispatch) {
    Attempt next = new Attempt(dispatch);
    attempt = Optional.of(next);
    dropAnswer();
    events.dropPart();
    server.pool().connect(dispatch.upstream(), next::connected, next::notConnected);
  }

  /** Breaks off what is under way at an upstream. */
  void cancel() {
    attempt.ifPresent(Attempt::abandon);
    attempt = Optional.empty();
  }

  /** Gives the caller the kept answer, or the end of the stream that it has begun to get. */
  void deliver() {
    if (headSent) {
      caller.write(LastHttpContent.EMPTY_LAST_CONTENT);
    } else {
      ByteBuf body = answerBody;
      answerBody = Unpooled.EMPTY_BUFFER;
      DefaultFullHttpResponse whole =
          new DefaultFullHttpResponse(HttpVersion.HTTP_1_1, answerHead.status(), body);
      whole.headers().set(answerHead.headers());
      HopHeaders.remove(whole.headers());
      boolean bodiless = answerHead.status().code() == HttpResponseStatus.NO_CONTENT.code();
      if (!bodiless && !received.method().equals(HttpMethod.HEAD)) {
        HttpUtil.setContentLength(whole, body.readableBytes());
      }
      caller.write(whole);
    }
    caller.answered(this);
  }

  /** Tells the caller that there is no answer. */
  void refuse(HttpResponseStatus status, String reason, long retryAfterMs) {
    if (headSent) {
      // A stream that breaks must not look complete: without its last chunk it can't.
      caller.breakOff();
      return;
    }
    caller.write(OwnAnswer.of(server.dialect(), status, reason, request.id(), retryAfterMs));
    caller.answered(this);
  }

  /** Gives back what the exchange holds. */
  void release() {
    cancel();
    dropAnswer();
    received.release();
  }

  /** Goes on or stops reading from the upstream, as the caller reads. */
  void callerWritable(boolean writable) {
    attempt.ifPresent(current -> current.readMore(writable));
  }

  private void dropAnswer() {
    answerBody.release();
    answerBody = Unpooled.EMPTY_BUFFER;
  }

  private void keep(ByteBuf part) {
    if (answerBody == Unpooled.EMPTY_BUFFER) {
      answerBody = server.allocate();
    }
    answerBody.writeBytes(part);
  }

  private void beginStream() {
    DefaultHttpResponse head = new DefaultHttpResponse(HttpVersion.HTTP_1_1, answerHead.status());
    head.headers().set(answerHead.headers());
    HopHeaders.remove(head.headers());
    head.headers().remove(HttpHeaderNames.CONTENT_LENGTH);
    HttpUtil.setTransferEncodingChunked(head, true);
    caller.write(head);
    headSent = true;
  }

  /** Is one attempt at one upstream. */
  private final class Attempt implements UpstreamCall {

    private final ForwardAction.Dispatch dispatch;
    private final long dispatchedNs = server.signals().nowNs();
    private UpstreamConnection connection;
    private AnswerHead head;
    private int status;
    private boolean relays;
    private boolean over;
    private long sentNs;
    private long firstEventNs;
    private long lastEventNs;
    private long eventsInFirstRead;
    private ByteBuf gathered = Unpooled.EMPTY_BUFFER;

    Attempt(ForwardAction.Dispatch dispatch) {
      this.dispatch = dispatch;
    }

    void connected(UpstreamConnection made) {
      if (over) {
        server.pool().idle(made);
        return;
      }
      if (!server.signals().allowSending(dispatch.upstream().upstreamIncarnation())) {
        server.pool().idle(made);
        end(AttemptOutcome.WITHHELD);
        return;
      }
      connection = made;
      sentNs = System.nanoTime();
      made.send(callOf(), this);
    }

    void notConnected() {
      end(AttemptOutcome.NOT_CONNECTED);
    }

    void abandon() {
      over = true;
      if (connection != null) {
        connection.abandon();
      }
    }

    void readMore(boolean more) {
      if (connection != null && !over) {
        connection.readMore(more);
      }
    }

    @Override
    public String requestId() {
      return request.id();
    }

    @Override
    public void head(HttpResponse response, AnswerHead read) {
      head = read;
      status = response.status().code();
      boolean success = response.status().codeClass() == HttpStatusClass.SUCCESS;
      relays = success && read.signed() && read.eventStream();
      read.load().ifPresent(load -> server.told(dispatch.upstream().id(), load));
      if (status != MISDIRECTED_REQUEST) {
        server.signals().heard(dispatch.upstream(), read, dispatchedNs);
      }
      if (!headSent) {
        answerHead = response;
      }
    }

    @Override
    public void body(ByteBuf part) {
      if (!relays) {
        keepBounded(part);
        return;
      }
      byte[] bytes = new byte[part.readableBytes()];
      part.readBytes(bytes);
      try {
        gather(events.take(bytes));
      } catch (EventBlocks.OversizedEventException e) {
        connection.abandon();
        end(AttemptOutcome.BROKEN);
      }
    }

    @Override
    public void partsRead() {
      relayGathered();
      if (firstEventNs > 0 && !over) {
        server.eventHold().hold(connection, System.nanoTime() - firstEventNs);
      }
    }

    @Override
    public void complete() {
      relayGathered();
      tellPace();
      end(endOfWhole());
    }

    @Override
    public void failed(AttemptOutcome end) {
      end(end);
    }

    private FullHttpRequest callOf() {
      FullHttpRequest call =
          new DefaultFullHttpRequest(
              HttpVersion.HTTP_1_1,
              received.method(),
              received.uri(),
              received.content().retainedDuplicate());
      call.headers().set(received.headers());
      HopHeaders.remove(call.headers());
      server
          .dialect()
          .writeCall(
              call.headers(),
              new CallHeaders(
                  dispatch.upstream().id(),
                  dispatch.customer(),
                  dispatch.remainingMs(),
                  events.lastId()));
      call.headers().remove(HttpHeaderNames.CONTENT_LENGTH);
      boolean carriesBody =
          received.content().isReadable() || !received.method().equals(HttpMethod.GET);
      if (carriesBody) {
        HttpUtil.setContentLength(call, received.content().readableBytes());
      }
      return call;
    }

    private void gather(byte[] whole) {
      if (whole.length > 0) {
        gathered = gathered.isReadable() ? gathered : server.allocate();
        gathered.writeBytes(whole);
      }
    }

    /** Passes on, in one write, the events that came with one read. */
    private void relayGathered() {
      if (!gathered.isReadable()) {
        return;
      }
      final ByteBuf whole = gathered;
      gathered = Unpooled.EMPTY_BUFFER;
      boolean first = firstEventNs == 0;
      noteEvents();
      if (!headSent) {
        beginStream();
      }
      if (first) {
        server.begun(Exchange.this);
      }
      caller.write(new DefaultHttpContent(whole));
      if (!caller.isWritable()) {
        connection.readMore(false);
      }
    }

    private void noteEvents() {
      long nowNs = System.nanoTime();
      if (firstEventNs == 0) {
        firstEventNs = nowNs;
        eventsInFirstRead = events.passedOn();
      } else {
        longestPauseNs = Math.max(longestPauseNs, nowNs - lastEventNs);
      }
      lastEventNs = nowNs;
    }

    /** Tells the time between events, or that of a plain answer. */
    private void tellPace() {
      long laterEvents = events.passedOn() - eventsInFirstRead;
      if (firstEventNs > 0 && laterEvents > 0) {
        double betweenMs = (lastEventNs - firstEventNs) / NS_PER_MS / laterEvents;
        server.streamPace(Exchange.this, dispatch.upstream().id(), betweenMs);
      } else if (!relays) {
        server.pace(dispatch.upstream().id(), (System.nanoTime() - sentNs) / NS_PER_MS);
      }
    }

    private void keepBounded(ByteBuf part) {
      if (answerBody.readableBytes() + part.readableBytes() > MAX_ANSWER_BYTES) {
        connection.abandon();
        end(AttemptOutcome.BROKEN);
      } else if (!headSent) {
        keep(part);
      }
    }

    /**
     * Says what a whole answer comes to. A status that promises a caller "not run" counts only if
     * the upstream itself says that it did not run the request; otherwise it may have.
     */
    private AttemptOutcome endOfWhole() {
      if (status == MISDIRECTED_REQUEST) {
        return AttemptOutcome.MISDIRECTED;
      }
      if (head.notRun()) {
        return AttemptOutcome.REFUSED;
      }
      if (relays) {
        return events.isBetweenEvents() ? AttemptOutcome.ANSWERED : AttemptOutcome.BROKEN;
      }
      boolean success = status >= HttpResponseStatus.OK.code() && status < 300;
      if (PROMISES.contains(status) || (success && !head.signed()) || headSent) {
        return AttemptOutcome.BROKEN;
      }
      return status >= FIRST_SERVER_ERROR ? AttemptOutcome.FAILED_ANSWER : AttemptOutcome.ANSWERED;
    }

    private void end(AttemptOutcome end) {
      if (over) {
        return;
      }
      relayGathered();
      over = true;
      attempt = Optional.empty();
      server.attemptEnded(Exchange.this, end);
    }
  }
}
