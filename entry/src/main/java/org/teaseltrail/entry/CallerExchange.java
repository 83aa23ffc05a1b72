package org.teaseltrail.entry;

import org.reactivestreams.Publisher;
import org.teaseltrail.core.configuration.RouteTarget;
import org.teaseltrail.core.id.RequestId;
import org.teaseltrail.core.request.Outcome;
import org.teaseltrail.core.request.StreamFrame;
import reactor.netty.http.server.HttpServerResponse;

/**
 * One caller's request and the way its response is returned. All methods except {@link #respond}
 * are called on the node thread.
 */
interface CallerExchange {

  /** Returns the id of the request. */
  RequestId request();

  /** Writes the response to the caller once a token or the outcome is available. */
  Publisher<Void> respond(HttpServerResponse response);

  /** Creates the call that sends the request to the granted upstream. */
  DispatchCall createCall(UpstreamCallFactory calls, int attempt, RouteTarget asked);

  /** Accepts the next token frame of the response. */
  void deliver(StreamFrame.Text frame);

  /** Accepts the outcome of the request, after which no frame follows. */
  void conclude(Outcome outcome);

  /**
   * Abandons the exchange after the caller has disconnected or stalled; frames that arrive later
   * are dropped.
   */
  void abandon();

  /**
   * Returns whether the buffer for the caller is full, so that the upstream must not be read for
   * now.
   *
   * @param onCapacity runs once the upstream may be read again; unused if the buffer isn't full
   */
  boolean isBufferFull(Runnable onCapacity);
}
