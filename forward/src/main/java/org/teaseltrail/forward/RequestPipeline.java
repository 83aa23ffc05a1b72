package org.teaseltrail.forward;

import io.netty.handler.codec.http.FullHttpRequest;
import io.netty.util.ReferenceCountUtil;
import java.util.ArrayDeque;
import java.util.Deque;
import java.util.Optional;

/** The requests of one caller's connection, handed out one at a time, as they arrived. */
final class RequestPipeline {

  private static final int MAX_WAITING = 16;

  private final Deque<FullHttpRequest> waiting = new ArrayDeque<>();
  private boolean busy;

  /** Adds a request; returns false, and doesn't take it, if too many are waiting. */
  boolean add(FullHttpRequest request) {
    if (waiting.size() >= MAX_WAITING) {
      return false;
    }
    waiting.addLast(request);
    return true;
  }

  /** Takes the next request, unless there is none or the one before isn't completed. */
  Optional<FullHttpRequest> takeNext() {
    if (busy || waiting.isEmpty()) {
      return Optional.empty();
    }
    busy = true;
    return Optional.of(waiting.pollFirst());
  }

  /** Returns whether a request waits for the one before it. */
  boolean hasWaiting() {
    return !waiting.isEmpty();
  }

  /** Records that the request that was taken last is completed. */
  void onCompleted() {
    busy = false;
  }

  /** Drops the waiting requests. */
  void clear() {
    waiting.forEach(ReferenceCountUtil::release);
    waiting.clear();
  }
}
