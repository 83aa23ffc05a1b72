package org.teaseltrail.storage;

import java.nio.ByteBuffer;
import java.util.zip.CRC32C;

/** Keeps one value in one file with a checksum; the file is replaced as a whole. */
final class CheckedFile<T> {

  private static final int MAGIC = 0x54_54_46_31;
  private static final int HEADER_BYTES = 2 * Integer.BYTES;

  private final DataFolder folder;
  private final Codec<T> codec;

  CheckedFile(DataFolder folder, Codec<T> codec) {
    this.folder = folder;
    this.codec = codec;
  }

  void save(String name, T value) {
    byte[] content = codec.encode(value);
    ByteBuffer buffer = ByteBuffer.allocate(HEADER_BYTES + content.length);
    buffer.putInt(MAGIC).putInt(checksum(content, 0, content.length)).put(content);
    folder.replace(name, buffer.array());
  }

  /** Reads the value; as the file is only ever replaced whole, any flaw in it is damage. */
  T load(String name) {
    if (!folder.has(name)) {
      throw new DamagedFolderException(folder.path(name), "is missing");
    }
    byte[] bytes = folder.read(name);
    if (bytes.length < HEADER_BYTES) {
      throw new DamagedFolderException(folder.path(name), "too short");
    }
    ByteBuffer header = ByteBuffer.wrap(bytes);
    int length = bytes.length - HEADER_BYTES;
    boolean sound =
        header.getInt() == MAGIC && header.getInt() == checksum(bytes, HEADER_BYTES, length);
    if (!sound) {
      throw new DamagedFolderException(folder.path(name), "checksum differs");
    }
    return codec.decode(bytes, HEADER_BYTES, length);
  }

  private static int checksum(byte[] bytes, int offset, int length) {
    CRC32C crc = new CRC32C();
    crc.update(bytes, offset, length);
    return (int) crc.getValue();
  }
}
