package org.teaseltrail.wire;

/** Reason why a connection closed. */
public enum CloseReason {
  /** This side closed it. */
  CLOSED_HERE,
  /** The other side closed it. */
  CLOSED_BY_PEER,
  /** Half-open connection: no data and no keepalive was received within the idle timeout. */
  IDLE,
  /** The peer reads too slowly and the outbound queue is full. */
  PEER_NOT_READING,
  /** The declared length of a frame exceeds the limit. */
  FRAME_TOO_LARGE,
  /** A frame is not a message of the expected type. */
  MALFORMED_MESSAGE,
  /** The handshake has an unsupported client type or protocol version. */
  OPENING_REFUSED,
  /** Reading from or writing to the socket failed. */
  TRANSPORT_FAILED,
  /** The listener threw an exception while handling a message. */
  LISTENER_FAILED
}
