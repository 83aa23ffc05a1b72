package org.teaseltrail.storage;

/**
 * File name of a log segment.
 *
 * @param firstIndex index of the segment's first entry
 */
record SegmentName(long firstIndex) {

  private static final String PREFIX = "log-";

  static boolean isSegmentName(String fileName) {
    return fileName.startsWith(PREFIX) && !fileName.endsWith(DataFolder.TEMPORARY_SUFFIX);
  }

  static SegmentName parse(String fileName) {
    return new SegmentName(Long.parseLong(fileName.substring(PREFIX.length())));
  }

  /** Returns the file name, padded so that names sort in the order of their indexes. */
  String fileName() {
    return PREFIX + String.format("%020d", firstIndex);
  }
}
