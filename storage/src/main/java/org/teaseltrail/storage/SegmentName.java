package org.teaseltrail.storage;

/**
 * Names the file of a log segment.
 *
 * @param firstIndex index of its first entry
 */
record SegmentName(long firstIndex) {

  private static final String PREFIX = "log-";

  static boolean isOne(String fileName) {
    return fileName.startsWith(PREFIX) && !fileName.endsWith(DataFolder.TEMPORARY_SUFFIX);
  }

  static SegmentName parse(String fileName) {
    return new SegmentName(Long.parseLong(fileName.substring(PREFIX.length())));
  }

  /** Returns a name whose order among others is that of the indexes. */
  String fileName() {
    return PREFIX + String.format("%020d", firstIndex);
  }
}
