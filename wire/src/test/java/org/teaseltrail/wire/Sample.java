package org.teaseltrail.wire;

/**
 * A message with the sealed interface as which it is encoded.
 *
 * @param root the sealed interface
 * @param message the message
 * @param <T> the sealed interface
 */
record Sample<T>(Class<T> root, T message) {

  Class<?> type() {
    return message.getClass();
  }

  byte[] encode(MessageCodec codec) {
    return codec.encode(root, message);
  }
}
