package org.teaseltrail.storage;

import java.io.IOException;
import java.io.UncheckedIOException;
import org.msgpack.core.MessageBufferPacker;
import org.msgpack.core.MessagePack;
import org.msgpack.core.MessageUnpacker;

/** Writes a value type as MessagePack and reads it back. */
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

  /** Reads a value whose checksum has been checked. */
  T decode(byte[] bytes, int offset, int length) {
    try (MessageUnpacker unpacker = MessagePack.newDefaultUnpacker(bytes, offset, length)) {
      return unpack(unpacker);
    } catch (IOException e) {
      throw new UncheckedIOException(e);
    }
  }
}
