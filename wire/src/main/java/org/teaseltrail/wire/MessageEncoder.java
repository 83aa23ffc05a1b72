package org.teaseltrail.wire;

import org.teaseltrail.core.message.ControlMessage;
import org.teaseltrail.core.serving.ServingReply;

/**
 * Writes the messages that go out on one connection. Not thread-safe: its calls must come in the
 * order in which the frames go out.
 *
 * @param <O> the sealed interface of what goes out
 */
public interface MessageEncoder<O> {

  /**
   * Writes a message.
   *
   * @param message the message
   * @return the body of its frame
   */
  byte[] encode(O message);

  /**
   * Is told that the frame of a message is queued.
   *
   * @param message the message
   */
  default void sent(O message) {}

  /**
   * Makes the encoder of a connection.
   *
   * @param type the sealed interface of what goes out
   * @param codec writes the messages
   * @param <O> the sealed interface of what goes out
   * @return the encoder
   */
  @SuppressWarnings("unchecked")
  static <O> MessageEncoder<O> of(Class<O> type, MessageCodec codec) {
    if (type == ControlMessage.class) {
      return (MessageEncoder<O>) new ControlMessageEncoder(codec);
    }
    if (type == ServingReply.class) {
      return (MessageEncoder<O>) new ServingReplyEncoder(codec);
    }
    return message -> codec.encode(type, message);
  }
}
