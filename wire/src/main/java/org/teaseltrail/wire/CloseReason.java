package org.teaseltrail.wire;

/** Says why a connection ended. */
public enum CloseReason {
  /** This side closed it. */
  CLOSED_HERE,
  /** The other side closed it. */
  CLOSED_BY_PEER,
  /** Nothing, not even a keepalive, came within the idle timeout: the link is half-open. */
  IDLE,
  /** The peer reads too slowly and the outbound queue is full. */
  PEER_NOT_READING,
  /** A frame's declared length passes the limit. */
  FRAME_TOO_LARGE,
  /** A frame holds no message of the expected type. */
  MALFORMED_MESSAGE,
  /** The opening names an unknown kind of speaker or another protocol version. */
  OPENING_REFUSED,
  /** The transport failed. */
  TRANSPORT_FAILED,
  /** The listener threw while it took a message. */
  LISTENER_FAILED
}
