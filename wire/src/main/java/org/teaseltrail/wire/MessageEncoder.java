package org.teaseltrail.wire;

import org.teaseltrail.core.message.ControlMessage;
import org.teaseltrail.core.serving.ServingReply;

/**
 * Encodes the outbound messages of one connection. Not thread-safe: it must be called in the order
 * in which the frames are sent.
 *
 * @param <O> the sealed interface of outbound messages
 */
public interface MessageEncoder<O> {

  /**
   * Encodes a message.
   *
   * @param message the message
   * @return the body of its frame
   */
  byte[] encode(O message);

  /**
   * Called when the frame of a message has been queued.
   *
   * @param message the message
   */
  default void onSent(O message) {}

  /**
   * Creates the encoder of a connection.
   *
   * @param type the sealed interface of outbound messages
   * @param codec encodes the messages
   * @param <O> the sealed interface of outbound messages
   * @return the encoder
   */
  @SuppressWarnings("unchecked")
  static <O> MessageEncoder<O> forType(Class<O> type, MessageCodec codec) {
    if (type == ControlMessage.class) {
      return (MessageEncoder<O>) new ControlMessageEncoder(codec);
    }
    if (type == ServingReply.class) {
      return (MessageEncoder<O>) new ServingReplyEncoder(codec);
    }
    return message -> codec.encode(type, message);
  }
}
