package org.teaseltrail.entry;

import org.reactivestreams.Publisher;
import org.teaseltrail.core.configuration.RouteTarget;
import org.teaseltrail.core.id.RequestId;
import org.teaseltrail.core.request.Outcome;
import org.teaseltrail.core.request.StreamFrame;
import reactor.netty.http.server.HttpServerResponse;

/**
 * Is one caller's request and the way its answer goes back. All but {@link #respond} is called on
 * the node's thread.
 */
interface CallerExchange {

  /** Returns the request. */
  RequestId request();

  /** Answers the caller once there is something to answer. */
  Publisher<Void> respond(HttpServerResponse response);

  /** Makes the connection's content for the upstream that was granted. */
  DispatchCall call(UpstreamCalls calls, int attempt, RouteTarget asked);

  /** Takes the next piece of the answer. */
  void deliver(StreamFrame.Text frame);

  /** Takes the outcome. */
  void conclude(Outcome outcome);

  /** Lets go of the caller; what still comes is dropped. */
  void abandon();

  /**
   * Returns whether the upstream is not to be read for now.
   *
   * @param whenRoom runs once the upstream may be read again, if it may not now
   */
  boolean isFull(Runnable whenRoom);
}
