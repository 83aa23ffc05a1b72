package org.teaseltrail.core.entry;

import org.teaseltrail.core.configuration.RouteTarget;
import org.teaseltrail.core.id.MemberId;
import org.teaseltrail.core.id.RequestId;
import org.teaseltrail.core.message.EntryMessage;
import org.teaseltrail.core.request.Outcome;
import org.teaseltrail.core.request.StreamFrame;
import org.teaseltrail.core.request.UpstreamTarget;

/** Action that an entry VM's state machine requests from the process. */
public sealed interface EntryAction {

  /**
   * Sends a message to a control member.
   *
   * @param member the member
   * @param message the message
   */
  record SendControl(MemberId member, EntryMessage message) implements EntryAction {}

  /**
   * Closes the connection to a control member and opens a new one.
   *
   * @param member the member
   */
  record ReconnectControl(MemberId member) implements EntryAction {}

  /**
   * Opens a connection for a request without writing to it.
   *
   * @param request the request
   * @param attempt number of the attempt, which events of this connection state
   * @param target the upstream
   * @param asked the model, version and adapter, or the service, to request
   */
  record Connect(RequestId request, int attempt, UpstreamTarget target, RouteTarget asked)
      implements EntryAction {}

  /**
   * Writes the request to its connection.
   *
   * @param request the request
   * @param attempt number of the connection's attempt
   */
  record Transmit(RequestId request, int attempt) implements EntryAction {}

  /**
   * Closes any connection of a request to its upstream.
   *
   * @param request the request
   */
  record CloseUpstream(RequestId request) implements EntryAction {}

  /**
   * Requests the rest of a stream from the upstream.
   *
   * @param request the request whose caller receives the stream
   * @param attempt number of the attempt, which events of this connection state
   * @param stream id of the stream at the upstream
   * @param target the upstream
   * @param fromSequence sequence of the first requested frame
   */
  record Resume(
      RequestId request, int attempt, RequestId stream, UpstreamTarget target, long fromSequence)
      implements EntryAction {}

  /**
   * Cancels the request at the upstream and closes the connection.
   *
   * @param request the request
   * @param target the upstream
   */
  record CancelUpstream(RequestId request, UpstreamTarget target) implements EntryAction {}

  /**
   * Delivers the next frame of the answer to the caller.
   *
   * @param request the request
   * @param frame the frame
   */
  record Deliver(RequestId request, StreamFrame.Text frame) implements EntryAction {}

  /**
   * Sends the outcome to the caller. This is the last action for a request.
   *
   * @param request the request
   * @param outcome the outcome
   */
  record Conclude(RequestId request, Outcome outcome) implements EntryAction {}

  /**
   * Answers an upstream's announcement or cache event.
   *
   * @param exchange number of the exchange, as stated in the event
   * @param verdict the answer
   */
  record AnswerUpstream(long exchange, UpstreamVerdict verdict) implements EntryAction {}

  /** Stops accepting connections from callers. */
  record CloseListener() implements EntryAction {}

  /** Ends the process after all requests have finished. */
  record Exit() implements EntryAction {}

  /**
   * Writes a decision to the log.
   *
   * @param decision the decision
   */
  record Log(EntryDecision decision) implements EntryAction {}
}
