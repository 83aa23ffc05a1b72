package org.teaseltrail.core.entry;

import org.teaseltrail.core.id.MemberId;
import org.teaseltrail.core.id.RequestId;
import org.teaseltrail.core.message.ControlMessage;
import org.teaseltrail.core.request.FailureReason;
import org.teaseltrail.core.request.StreamFrame;
import org.teaseltrail.core.upstream.Announcement;
import org.teaseltrail.core.upstream.CacheEvent;

/** Input event of an entry VM's state machine. */
public sealed interface EntryEvent {

  /**
   * A connection to a control member was established.
   *
   * @param member the member
   */
  record ControlConnected(MemberId member) implements EntryEvent {}

  /**
   * A connection to a control member was closed.
   *
   * @param member the member
   */
  record ControlDisconnected(MemberId member) implements EntryEvent {}

  /**
   * A message from a control member was received.
   *
   * @param member the member
   * @param message the message
   */
  record ControlReceived(MemberId member, ControlMessage message) implements EntryEvent {}

  /**
   * A complete request from a caller was received.
   *
   * @param request the new request's id
   * @param call the caller's request
   */
  record RequestArrived(RequestId request, CallerCall call) implements EntryEvent {}

  /**
   * A caller has disconnected, or has read nothing for too long.
   *
   * @param request the caller's request
   */
  record CallerGone(RequestId request) implements EntryEvent {}

  /**
   * An answer exceeds the buffer for a caller that requested it in one piece.
   *
   * @param request the request
   */
  record AnswerTooLarge(RequestId request) implements EntryEvent {}

  /**
   * A connection to the granted upstream was established; nothing was written to it yet.
   *
   * @param request the request
   * @param attempt number of the attempt
   */
  record UpstreamConnected(RequestId request, int attempt) implements EntryEvent {}

  /**
   * A connection to the granted upstream could not be established; nothing was written.
   *
   * @param request the request
   * @param attempt number of the attempt
   */
  record UpstreamConnectFailed(RequestId request, int attempt) implements EntryEvent {}

  /**
   * The upstream reported that it refused the request before running it.
   *
   * @param request the request
   * @param attempt number of the attempt
   */
  record UpstreamRefused(RequestId request, int attempt) implements EntryEvent {}

  /**
   * The upstream sent a response that ends the request without a complete answer.
   *
   * @param request the request
   * @param attempt number of the attempt
   * @param reason reason of the failure
   */
  record UpstreamFailed(RequestId request, int attempt, FailureReason reason)
      implements EntryEvent {}

  /**
   * A frame was received.
   *
   * @param request the request for which the connection was opened
   * @param attempt number of the attempt
   * @param frame the frame
   */
  record FrameReceived(RequestId request, int attempt, StreamFrame frame) implements EntryEvent {}

  /**
   * A connection to which a request had been written has ended, with or without an error.
   *
   * @param request the request
   * @param attempt number of the attempt
   */
  record StreamBroken(RequestId request, int attempt) implements EntryEvent {}

  /**
   * The upstream doesn't know the stream that was to be resumed.
   *
   * @param request the request
   * @param attempt number of the attempt
   */
  record StreamUnknown(RequestId request, int attempt) implements EntryEvent {}

  /**
   * A plain service has started its response.
   *
   * @param request the request
   * @param attempt number of the attempt
   */
  record ServiceAnswering(RequestId request, int attempt) implements EntryEvent {}

  /**
   * The complete response of a plain service was received.
   *
   * @param request the request
   * @param attempt number of the attempt
   */
  record ServiceCompleted(RequestId request, int attempt) implements EntryEvent {}

  /**
   * An upstream's announcement was received.
   *
   * @param exchange number that identifies the exchange in the answer
   * @param announcement the announcement
   * @param secretHash SHA-256 of the secret that was sent with it, in lower-case hexadecimal
   */
  record AnnouncementReceived(long exchange, Announcement announcement, String secretHash)
      implements EntryEvent {}

  /**
   * An engine's cache event was received.
   *
   * @param exchange number that identifies the exchange in the answer
   * @param event the event
   * @param secretHash SHA-256 of the secret that was sent with it, in lower-case hexadecimal
   */
  record CacheEventReceived(long exchange, CacheEvent event, String secretHash)
      implements EntryEvent {}

  /** A shutdown of the process was requested. */
  record DrainRequested() implements EntryEvent {}

  /** A timer of the process has fired. */
  record Tick() implements EntryEvent {}
}
