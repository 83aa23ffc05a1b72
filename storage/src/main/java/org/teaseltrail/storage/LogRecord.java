package org.teaseltrail.storage;

import java.nio.ByteBuffer;
import java.util.Optional;
import java.util.zip.CRC32C;

/**
 * Is one record of a log segment as it lies in the file.
 *
 * <p>Layout: magic number, length of the content, CRC32C of what follows, how many bytes of the
 * segment were synced when the record was written, content. The synced size lets a reader tell a
 * torn write at the end, which nobody was told of, from damage to what had been synced.
 *
 * @param offsetBytes where it begins in the file
 * @param contentLength length of its content in bytes
 * @param syncedBytes how much of the segment was synced when it was written
 */
record LogRecord(int offsetBytes, int contentLength, long syncedBytes) {

  static final int HEADER_BYTES = 3 * Integer.BYTES + Long.BYTES;

  private static final int MAGIC = 0x54_54_4c_31;
  private static final int CHECKED_FROM = 3 * Integer.BYTES;

  int contentOffsetBytes() {
    return offsetBytes + HEADER_BYTES;
  }

  int endBytes() {
    return contentOffsetBytes() + contentLength;
  }

  static byte[] write(byte[] content, long syncedBytes) {
    byte[] record = new byte[HEADER_BYTES + content.length];
    ByteBuffer buffer = ByteBuffer.wrap(record);
    buffer.putInt(MAGIC).putInt(content.length).putInt(0).putLong(syncedBytes).put(content);
    buffer.putInt(2 * Integer.BYTES, checksum(record, 0, content.length));
    return record;
  }

  /** Reads the record at an offset, or returns empty if no sound one lies there. */
  static Optional<LogRecord> readAt(byte[] file, int offsetBytes) {
    if (file.length - offsetBytes < HEADER_BYTES) {
      return Optional.empty();
    }
    ByteBuffer buffer = ByteBuffer.wrap(file, offsetBytes, HEADER_BYTES);
    if (buffer.getInt() != MAGIC) {
      return Optional.empty();
    }
    int length = buffer.getInt();
    int checksum = buffer.getInt();
    boolean fits = length >= 0 && length <= file.length - offsetBytes - HEADER_BYTES;
    if (!fits || checksum != checksum(file, offsetBytes, length)) {
      return Optional.empty();
    }
    return Optional.of(new LogRecord(offsetBytes, length, buffer.getLong()));
  }

  private static int checksum(byte[] file, int offsetBytes, int contentLength) {
    CRC32C crc = new CRC32C();
    crc.update(file, offsetBytes + CHECKED_FROM, Long.BYTES + contentLength);
    return (int) crc.getValue();
  }
}
