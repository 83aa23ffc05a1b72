package org.teaseltrail.core.entry;

import org.teaseltrail.core.configuration.RouteTarget;
import org.teaseltrail.core.id.MemberId;
import org.teaseltrail.core.id.RequestId;
import org.teaseltrail.core.message.EntryMessage;
import org.teaseltrail.core.request.Outcome;
import org.teaseltrail.core.request.StreamFrame;
import org.teaseltrail.core.request.UpstreamTarget;

/** Is something that an entry VM wants done. */
public sealed interface EntryAction {

  /**
   * Send a message to a control member.
   *
   * @param member the member
   * @param message the message
   */
  record SendControl(MemberId member, EntryMessage message) implements EntryAction {}

  /**
   * Close the connection to a control member and make a new one.
   *
   * @param member the member
   */
  record ReconnectControl(MemberId member) implements EntryAction {}

  /**
   * Make a connection for a request, and write nothing to it yet.
   *
   * @param request the request
   * @param attempt the number that events of this connection carry
   * @param target the upstream
   * @param asked the model, version and adapter, or the service, that is to be asked for
   */
  record Connect(RequestId request, int attempt, UpstreamTarget target, RouteTarget asked)
      implements EntryAction {}

  /**
   * Write the request to its connection.
   *
   * @param request the request
   * @param attempt the connection's attempt
   */
  record Transmit(RequestId request, int attempt) implements EntryAction {}

  /**
   * Close whatever connection a request has to its upstream.
   *
   * @param request the request
   */
  record CloseUpstream(RequestId request) implements EntryAction {}

  /**
   * Ask the upstream for the rest of a stream.
   *
   * @param request the request to whose caller it goes
   * @param attempt the number that events of this connection carry
   * @param stream the stream's id at the upstream
   * @param target the upstream
   * @param fromSequence the first frame wanted
   */
  record Resume(
      RequestId request, int attempt, RequestId stream, UpstreamTarget target, long fromSequence)
      implements EntryAction {}

  /**
   * Tell the upstream to stop, and close the connection.
   *
   * @param request the request
   * @param target the upstream
   */
  record CancelUpstream(RequestId request, UpstreamTarget target) implements EntryAction {}

  /**
   * Give the caller the next piece of its answer.
   *
   * @param request the request
   * @param frame the piece
   */
  record Deliver(RequestId request, StreamFrame.Text frame) implements EntryAction {}

  /**
   * Tell the caller the outcome; the last word on a request.
   *
   * @param request the request
   * @param outcome the outcome
   */
  record Conclude(RequestId request, Outcome outcome) implements EntryAction {}

  /**
   * Answer an upstream's announcement or cache event.
   *
   * @param exchange the number that came with it
   * @param verdict the answer
   */
  record AnswerUpstream(long exchange, UpstreamVerdict verdict) implements EntryAction {}

  /** Take no more connections from callers. */
  record CloseListener() implements EntryAction {}

  /** All is finished: end the process. */
  record Exit() implements EntryAction {}

  /**
   * Write a decision to the log.
   *
   * @param decision the decision
   */
  record Log(EntryDecision decision) implements EntryAction {}
}
