package org.teaseltrail.wire;

import org.teaseltrail.core.message.ControlMessage;
import org.teaseltrail.core.serving.ServingReply;

/**
 * Decodes the inbound messages of one connection, in the order of their frames.
 *
 * @param <I> the sealed interface of inbound messages
 */
@FunctionalInterface
public interface MessageDecoder<I> {

  /**
   * Decodes a message.
   *
   * @param body the body of its frame
   * @return the message
   * @throws MalformedMessageException if the body is not a message of the expected type
   */
  I decode(byte[] body);

  /**
   * Creates the decoder of a connection.
   *
   * @param type the sealed interface of inbound messages
   * @param codec decodes the messages
   * @param <I> the sealed interface of inbound messages
   * @return the decoder
   */
  @SuppressWarnings("unchecked")
  static <I> MessageDecoder<I> forType(Class<I> type, MessageCodec codec) {
    if (type == ControlMessage.class) {
      return (MessageDecoder<I>) new ControlMessageDecoder(codec);
    }
    if (type == ServingReply.class) {
      return (MessageDecoder<I>) new ServingReplyDecoder(codec);
    }
    return body -> codec.decode(type, body);
  }
}
