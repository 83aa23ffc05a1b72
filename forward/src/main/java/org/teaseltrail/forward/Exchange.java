package org.teaseltrail.forward;

import io.netty.buffer.ByteBuf;
import io.netty.channel.ChannelFuture;
import io.netty.handler.codec.http.DefaultFullHttpResponse;
import io.netty.handler.codec.http.DefaultHttpResponse;
import io.netty.handler.codec.http.FullHttpRequest;
import io.netty.handler.codec.http.FullHttpResponse;
import io.netty.handler.codec.http.HttpContent;
import io.netty.handler.codec.http.HttpHeaderNames;
import io.netty.handler.codec.http.HttpHeaders;
import io.netty.handler.codec.http.HttpMethod;
import io.netty.handler.codec.http.HttpResponse;
import io.netty.handler.codec.http.HttpResponseStatus;
import io.netty.handler.codec.http.HttpUtil;
import io.netty.handler.codec.http.HttpVersion;
import io.netty.handler.codec.http.LastHttpContent;
import java.util.Optional;
import org.teaseltrail.core.forward.ForwardAction;
import org.teaseltrail.core.forward.ForwardRequest;
import org.teaseltrail.core.forward.RefusalReason;
import org.teaseltrail.core.relay.RelayHop;
import org.teaseltrail.core.relay.RelayOutcome;
import org.teaseltrail.core.stream.StreamOrigin;

/**
 * One request of a caller and its response. It forwards the request to one upstream after the other
 * until one responds, and keeps the body of the request until then for retries. Event streams are
 * forwarded event by event; any other response is buffered until it is complete, so that a
 * truncated one never looks complete and can be replaced by that of another upstream.
 */
final class Exchange {

  /** Maximum size of a buffered response; bounds the memory that one upstream can occupy here. */
  static final int MAX_RESPONSE_BYTES = 8 * 1024 * 1024;

  private static final double NS_PER_MS = 1e6;

  private final ForwardServer server;
  private final CallerConnection caller;
  private final ForwardRequest request;
  private final FullHttpRequest received;
  private final boolean keepAlive;
  private final SseEventFramer events = new SseEventFramer();
  private final Optional<RelayHop> hop;
  private Optional<ExchangeAttempt> attempt = Optional.empty();
  private HttpResponse responseHead;
  private final BufferedBody responseBody = new BufferedBody();
  private AnswerRoom room;
  private boolean headSent;
  private long maxEventGapNs;

  Exchange(
      ForwardServer server,
      CallerConnection caller,
      ForwardRequest request,
      Optional<RelayHop> hop,
      FullHttpRequest received) {
    this.server = server;
    this.caller = caller;
    this.request = request;
    this.received = received;
    this.hop = hop;
    room = new AnswerRoom(server.answerBudgets());
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

  /** Returns what the peer that relayed the request has told, if one did. */
  Optional<RelayHop> hop() {
    return hop;
  }

  FullHttpRequest received() {
    return received;
  }

  SseEventFramer events() {
    return events;
  }

  /** Sends the request to an upstream. */
  void dispatch(ForwardAction.Dispatch dispatch) {
    start(new UpstreamAttempt(server, this, dispatch));
  }

  /** Relays the request to a peer. */
  void relay(ForwardAction.Relay relay) {
    start(new RelayAttempt(server, this, relay));
  }

  private void start(ExchangeAttempt next) {
    attempt = Optional.of(next);
    discardResponse();
    if (!headSent) {
      responseHead = null;
    }
    events.discardPartialEvent();
    next.start();
  }

  /** Records that the current attempt has ended. */
  void onAttemptEnded() {
    attempt = Optional.empty();
  }

  /** Aborts the current attempt, if any. */
  void cancel() {
    attempt.ifPresent(ExchangeAttempt::abort);
    attempt = Optional.empty();
  }

  /** Sends the caller the buffered response, or the end of the stream if one was started. */
  void deliver() {
    if (headSent) {
      caller.write(LastHttpContent.EMPTY_LAST_CONTENT);
    } else {
      ByteBuf body = responseBody.take();
      DefaultFullHttpResponse response =
          new DefaultFullHttpResponse(HttpVersion.HTTP_1_1, responseHead.status(), body);
      response.headers().set(responseHead.headers());
      HopByHopHeaders.remove(response.headers());
      writeOutcome(response.headers(), RelayOutcome.ANSWERED);
      boolean bodiless = responseHead.status().code() == HttpResponseStatus.NO_CONTENT.code();
      if (!bodiless && !received.method().equals(HttpMethod.HEAD)) {
        HttpUtil.setContentLength(response, body.readableBytes());
      }
      giveBackRoomAfter(caller.write(response));
    }
    caller.onResponseCompleted(this);
  }

  /** Refuses the request with a local reply, or aborts the connection if a stream was started. */
  void refuse(HttpResponseStatus status, RefusalReason reason, long retryAfterMs) {
    if (headSent) {
      // A broken stream must not look complete; without the last chunk it does not.
      caller.abort();
      return;
    }
    FullHttpResponse reply =
        LocalReplyFactory.create(
            server.headerCodec(), status, reason.name(), request.id(), retryAfterMs);
    writeOutcome(reply.headers(), reason.relayOutcome());
    caller.write(reply);
    caller.onResponseCompleted(this);
  }

  /** Closes the caller's connection, if what was written to it last is not known. */
  void abortCaller() {
    caller.abort();
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
    responseBody.clear();
    room.release();
  }

  /** Keeps the head of a response, unless a stream has been started with an earlier one. */
  void setResponseHead(HttpResponse response) {
    if (!headSent) {
      responseHead = response;
    }
  }

  /**
   * Keeps a part of a response that is not forwarded yet; returns false if it becomes too large.
   */
  boolean buffer(ByteBuf part) {
    if (responseBody.sizeBytes() + part.readableBytes() > MAX_RESPONSE_BYTES) {
      return false;
    }
    if (!headSent) {
      responseBody.add(part);
    }
    return true;
  }

  /** Reserves room for what is kept of the answer; returns false if it must wait for room. */
  boolean reserveRoom(long statedBytes, Runnable whenReserved) {
    return room.reserve(responseBody.sizeBytes(), statedBytes, MAX_RESPONSE_BYTES, whenReserved);
  }

  /** Reserves room for an event that isn't complete; returns false if it must wait for room. */
  boolean reserveEventRoom(Runnable whenReserved) {
    return room.reserve(
        events.pendingBytes(),
        AnswerRoom.UNKNOWN_BYTES,
        SseEventFramer.MAX_EVENT_BYTES,
        whenReserved);
  }

  /** What is written takes its room with it; what comes next reserves room of its own. */
  private void giveBackRoomAfter(ChannelFuture write) {
    AnswerRoom taken = room;
    room = new AnswerRoom(server.answerBudgets());
    write.addListener(written -> taken.release());
  }

  /** Tells the peer that relayed the request, if one did, what the answer means. */
  private void writeOutcome(HttpHeaders headers, RelayOutcome outcome) {
    if (hop.isPresent()) {
      RelayHeaders.writeOutcome(headers, outcome);
    }
  }

  /** Forwards a part of the response; returns whether the caller can take more. */
  boolean write(HttpContent part) {
    ChannelFuture write = caller.write(part);
    if (room.canBeHandedOver()) {
      giveBackRoomAfter(write);
    }
    return caller.isWritable();
  }

  /** Records the time between two reads of events. */
  void recordEventGap(long gapNs) {
    maxEventGapNs = Math.max(maxEventGapNs, gapNs);
  }

  /**
   * Starts the response to the caller with the head of the upstream's.
   *
   * @param origin what began the stream; the peer that relayed the request, if one did, is told it
   */
  void startStream(Optional<StreamOrigin> origin) {
    DefaultHttpResponse head = new DefaultHttpResponse(HttpVersion.HTTP_1_1, responseHead.status());
    head.headers().set(responseHead.headers());
    HopByHopHeaders.remove(head.headers());
    head.headers().remove(HttpHeaderNames.CONTENT_LENGTH);
    HttpUtil.setTransferEncodingChunked(head, true);
    writeOutcome(head.headers(), RelayOutcome.ANSWERED);
    if (hop.isPresent()) {
      origin.ifPresent(begun -> RelayHeaders.writeOrigin(head.headers(), begun));
    }
    caller.write(head);
    headSent = true;
  }
}
