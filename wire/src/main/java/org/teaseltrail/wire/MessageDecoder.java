package org.teaseltrail.wire;

import org.teaseltrail.core.message.ControlMessage;
import org.teaseltrail.core.serving.ServingReply;

/**
 * Reads the messages that come in on one connection, in the order of their frames.
 *
 * @param <I> the sealed interface of what comes in
 */
@FunctionalInterface
public interface MessageDecoder<I> {

  /**
   * Reads a message.
   *
   * @param body the body of its frame
   * @return the message
   * @throws MalformedMessageException if the body is no such message
   */
  I decode(byte[] body);

  /**
   * Makes the decoder of a connection.
   *
   * @param type the sealed interface of what comes in
   * @param codec reads the messages
   * @param <I> the sealed interface of what comes in
   * @return the decoder
   */
  @SuppressWarnings("unchecked")
  static <I> MessageDecoder<I> of(Class<I> type, MessageCodec codec) {
    if (type == ControlMessage.class) {
      return (MessageDecoder<I>) new ControlMessageDecoder(codec);
    }
    if (type == ServingReply.class) {
      return (MessageDecoder<I>) new ServingReplyDecoder(codec);
    }
    return body -> codec.decode(type, body);
  }
}
