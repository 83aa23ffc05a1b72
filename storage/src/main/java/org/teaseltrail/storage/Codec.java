package org.teaseltrail.storage;

import java.io.IOException;
import java.io.UncheckedIOException;
import org.msgpack.core.MessageBufferPacker;
import org.msgpack.core.MessagePack;
import org.msgpack.core.MessageUnpacker;

/** Base class of codecs that encode one type as MessagePack and decode it. */
abstract class Codec<T> {

  abstract void pack(MessageBufferPacker packer, T value) throws IOException;

  abstract T unpack(MessageUnpacker unpacker) throws IOException;

  byte[] encode(T value) {
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
