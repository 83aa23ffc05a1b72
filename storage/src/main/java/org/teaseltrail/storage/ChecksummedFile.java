package org.teaseltrail.storage;

import java.nio.ByteBuffer;
import java.util.zip.CRC32C;

/** Stores one value per file with a CRC32C checksum; a save replaces the file atomically. */
final class ChecksummedFile<T> {

  private static final int MAGIC = 0x54_54_46_31;
  private static final int HEADER_BYTES = 2 * Integer.BYTES;

  private final DataFolder folder;
  private final Codec<T> codec;

  ChecksummedFile(DataFolder folder, Codec<T> codec) {
    this.folder = folder;
    this.codec = codec;
  }

  void save(String name, T value) {
    byte[] head = codec.encodeHead(value);
    byte[] tail = codec.tail(value);
    CRC32C crc = new CRC32C();
    crc.update(head);
    crc.update(tail);
    ByteBuffer header = ByteBuffer.allocate(HEADER_BYTES);
    header.putInt(MAGIC).putInt((int) crc.getValue());
    folder.replace(name, header.array(), head, tail);
  }

  /** Reads the value. Files are only replaced atomically, so any invalid content is corruption. */
  T load(String name) {
    if (!folder.contains(name)) {
      throw new CorruptFolderException(folder.path(name), "the file is missing");
    }
    byte[] bytes = folder.read(name);
    if (bytes.length < HEADER_BYTES) {
      throw new CorruptFolderException(folder.path(name), "the file is shorter than its header");
    }
    ByteBuffer header = ByteBuffer.wrap(bytes);
    int length = bytes.length - HEADER_BYTES;
    boolean valid =
        header.getInt() == MAGIC && header.getInt() == checksum(bytes, HEADER_BYTES, length);
    if (!valid) {
      throw new CorruptFolderException(
          folder.path(name), "magic number or checksum does not match");
    }
    return codec.decode(bytes, HEADER_BYTES, length);
  }

  private static int checksum(byte[] bytes, int offset, int length) {
    CRC32C crc = new CRC32C();
    crc.update(bytes, offset, length);
    return (int) crc.getValue();
  }
}
