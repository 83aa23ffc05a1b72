package org.teaseltrail.storage;

import java.io.IOException;
import java.io.UncheckedIOException;
import org.msgpack.core.MessageBufferPacker;
import org.msgpack.core.MessagePack;
import org.msgpack.core.MessageUnpacker;

/**
 * Base class of codecs that encode one type as MessagePack and decode it.
 *
 * <p>A value is encoded as a head and a tail, which follow each other. The tail is a large binary
 * that the value holds already, so that it can be written without a copy.
 */
abstract class Codec<T> {

  /** Packs the value without its tail. */
  abstract void pack(MessageBufferPacker packer, T value) throws IOException;

  abstract T unpack(MessageUnpacker unpacker) throws IOException;

  /** Returns the bytes that follow the packed ones. */
  byte[] tail(T value) {
    return new byte[0];
  }

  byte[] encodeHead(T value) {
    try (MessageBufferPacker packer = MessagePack.newDefaultBufferPacker()) {
      pack(packer, value);
      return packer.toByteArray();
    } catch (IOException e) {
      throw new UncheckedIOException(e);
    }
  }

  /** Decodes a value whose checksum the caller has verified. */
  T decode(byte[] bytes, int offset, int length) {
    try (MessageUnpacker unpacker = MessagePack.newDefaultUnpacker(bytes, offset, length)) {
      return unpack(unpacker);
    } catch (IOException e) {
      throw new UncheckedIOException(e);
    }
  }
}
