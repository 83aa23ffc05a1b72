package org.teaseltrail.storage;

import java.nio.ByteBuffer;
import java.util.Optional;
import java.util.zip.CRC32C;

/**
 * The position and header of one record in a log segment file.
 *
 * <p>Layout: magic number, content length, CRC32C of all that follows, number of bytes of the
 * segment that were synced when the record was written, content. With the synced size, a reader
 * distinguishes a torn write at the end, which was never acknowledged, from corruption of synced
 * data.
 *
 * @param offsetBytes offset of the record in the file, in bytes
 * @param contentLength length of the content, in bytes
 * @param syncedBytes size of the synced part of the segment when the record was written, in bytes
 */
record LogRecord(int offsetBytes, int contentLength, long syncedBytes) {

  static final int HEADER_BYTES = 3 * Integer.BYTES + Long.BYTES;

  private static final int MAGIC = 0x54_54_4c_31;
  private static final int CHECKSUMMED_FROM_BYTES = 3 * Integer.BYTES;

  int contentOffsetBytes() {
    return offsetBytes + HEADER_BYTES;
  }

  int endBytes() {
    return contentOffsetBytes() + contentLength;
  }

  /**
   * Encodes a record up to the end of its content's head; the tail, which isn't copied, must be
   * written after it.
   */
  static byte[] encodeHead(byte[] contentHead, byte[] contentTail, long syncedBytes) {
    byte[] record = new byte[HEADER_BYTES + contentHead.length];
    ByteBuffer buffer = ByteBuffer.wrap(record);
    buffer.putInt(MAGIC).putInt(contentHead.length + contentTail.length).putInt(0);
    buffer.putLong(syncedBytes).put(contentHead);
    CRC32C crc = new CRC32C();
    crc.update(record, CHECKSUMMED_FROM_BYTES, Long.BYTES + contentHead.length);
    crc.update(contentTail);
    buffer.putInt(2 * Integer.BYTES, (int) crc.getValue());
    return record;
  }

  /** Reads the record at an offset; returns empty if there is no valid one. */
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
    crc.update(file, offsetBytes + CHECKSUMMED_FROM_BYTES, Long.BYTES + contentLength);
    return (int) crc.getValue();
  }
}
