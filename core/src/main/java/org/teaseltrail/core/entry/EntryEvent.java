package org.teaseltrail.core.entry;

import org.teaseltrail.core.id.MemberId;
import org.teaseltrail.core.id.RequestId;
import org.teaseltrail.core.message.ControlMessage;
import org.teaseltrail.core.request.FailureReason;
import org.teaseltrail.core.request.StreamFrame;
import org.teaseltrail.core.upstream.Announcement;
import org.teaseltrail.core.upstream.CacheEvent;

/** Is something that has happened and that an entry VM must know. */
public sealed interface EntryEvent {

  /**
   * A connection to a control member stands.
   *
   * @param member the member
   */
  record ControlConnected(MemberId member) implements EntryEvent {}

  /**
   * A connection to a control member is gone.
   *
   * @param member the member
   */
  record ControlDisconnected(MemberId member) implements EntryEvent {}

  /**
   * A control member has sent a message.
   *
   * @param member the member
   * @param message the message
   */
  record ControlReceived(MemberId member, ControlMessage message) implements EntryEvent {}

  /**
   * A caller has sent a whole request.
   *
   * @param request its new id
   * @param call what it asks for
   */
  record RequestArrived(RequestId request, CallerCall call) implements EntryEvent {}

  /**
   * A caller has hung up, or has read nothing for too long.
   *
   * @param request its request
   */
  record CallerGone(RequestId request) implements EntryEvent {}

  /**
   * A whole answer can't be held for a caller who wants it in one piece.
   *
   * @param request the request
   */
  record AnswerTooLarge(RequestId request) implements EntryEvent {}

  /**
   * A connection to the granted upstream stands; nothing is written to it yet.
   *
   * @param request the request
   * @param attempt the attempt it belongs to
   */
  record UpstreamConnected(RequestId request, int attempt) implements EntryEvent {}

  /**
   * No connection to the granted upstream came about; nothing was written.
   *
   * @param request the request
   * @param attempt the attempt it belongs to
   */
  record UpstreamConnectFailed(RequestId request, int attempt) implements EntryEvent {}

  /**
   * The upstream says that it refused the request before it ran.
   *
   * @param request the request
   * @param attempt the attempt it belongs to
   */
  record UpstreamRefused(RequestId request, int attempt) implements EntryEvent {}

  /**
   * The upstream has answered in a way that ends the request without a whole answer.
   *
   * @param request the request
   * @param attempt the attempt it belongs to
   * @param reason why
   */
  record UpstreamFailed(RequestId request, int attempt, FailureReason reason)
      implements EntryEvent {}

  /**
   * A frame has arrived.
   *
   * @param request the request that the connection was made for
   * @param attempt the attempt it belongs to
   * @param frame the frame
   */
  record FrameReceived(RequestId request, int attempt, StreamFrame frame) implements EntryEvent {}

  /**
   * A connection that had been written to has ended, with or without an error.
   *
   * @param request the request
   * @param attempt the attempt it belongs to
   */
  record StreamBroken(RequestId request, int attempt) implements EntryEvent {}

  /**
   * The upstream doesn't know the stream that was to be resumed.
   *
   * @param request the request
   * @param attempt the attempt it belongs to
   */
  record StreamUnknown(RequestId request, int attempt) implements EntryEvent {}

  /**
   * A plain service has begun to answer.
   *
   * @param request the request
   * @param attempt the attempt it belongs to
   */
  record ServiceAnswering(RequestId request, int attempt) implements EntryEvent {}

  /**
   * A plain service's whole answer has arrived.
   *
   * @param request the request
   * @param attempt the attempt it belongs to
   */
  record ServiceCompleted(RequestId request, int attempt) implements EntryEvent {}

  /**
   * An upstream has announced itself.
   *
   * @param exchange the number by which the answer is matched
   * @param announcement the announcement
   * @param secretHash SHA-256 of the secret that came with it, in lower-case hexadecimal
   */
  record AnnouncementReceived(long exchange, Announcement announcement, String secretHash)
      implements EntryEvent {}

  /**
   * An engine has sent a cache event.
   *
   * @param exchange the number by which the answer is matched
   * @param event the event
   * @param secretHash SHA-256 of the secret that came with it, in lower-case hexadecimal
   */
  record CacheEventReceived(long exchange, CacheEvent event, String secretHash)
      implements EntryEvent {}

  /** The process is asked to shut down. */
  record DrainRequested() implements EntryEvent {}

  /** Time has passed. */
  record Tick() implements EntryEvent {}
}
