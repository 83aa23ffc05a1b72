package org.teaseltrail.wire;

/**
 * A message with the sealed interface as which it is encoded.
 *
 * @param sealedType the sealed interface
 * @param message the message
 * @param <T> the sealed interface
 */
record SampleMessage<T>(Class<T> sealedType, T message) {

  Class<?> type() {
    return message.getClass();
  }

  byte[] encode(MessageCodec codec) {
    return codec.encode(sealedType, message);
  }
}
