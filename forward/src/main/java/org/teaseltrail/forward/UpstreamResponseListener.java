package org.teaseltrail.forward;

import io.netty.buffer.ByteBuf;
import io.netty.handler.codec.http.HttpResponse;
import org.teaseltrail.core.forward.AttemptOutcome;

/**
 * Listener for the response to one request that was sent to an upstream. At most one of {@link
 * #completed} and {@link #failed} is called, once.
 */
interface UpstreamResponseListener {

  /** Returns the request id that the response must contain, if it contains one. */
  String requestId();

  /** Called when the head of the response was received. */
  void headReceived(HttpResponse head, ResponseHead read);

  /** Called when a part of the body was received; the listener must not retain the buffer. */
  void bodyReceived(ByteBuf part);

  /** Called after all parts of one read were passed to the listener; more may follow. */
  void readCompleted();

  /** Called when the response is complete. */
  void completed();

  /** Called when the response can't be completed. */
  void failed(AttemptOutcome end);
}
