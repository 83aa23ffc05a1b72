package org.teaseltrail.testing;

/**
 * Answers of an upstream that break the grammar of HTTP/1 in one place, and are whole and correct
 * otherwise.
 */
public enum MalformedAnswer {
  STATUS_ZERO(Place.STATUS_LINE, "HTTP/1.1 000 Unknown"),
  STATUS_BELOW_RANGE(Place.STATUS_LINE, "HTTP/1.1 099 Unknown"),
  STATUS_ABOVE_RANGE(Place.STATUS_LINE, "HTTP/1.1 600 Unknown"),
  STATUS_OF_TWO_DIGITS(Place.STATUS_LINE, "HTTP/1.1 20 OK"),
  STATUS_OF_FOUR_DIGITS(Place.STATUS_LINE, "HTTP/1.1 0200 OK"),
  STATUS_WITH_SIGN(Place.STATUS_LINE, "HTTP/1.1 +200 OK"),
  STATUS_OF_LETTERS(Place.STATUS_LINE, "HTTP/1.1 2OO OK"),
  STATUS_MISSING(Place.STATUS_LINE, "HTTP/1.1 OK"),
  STATUS_BEHIND_TAB(Place.STATUS_LINE, "HTTP/1.1\t200 OK"),
  STATUS_BEHIND_TWO_BLANKS(Place.STATUS_LINE, "HTTP/1.1  200 OK"),
  REASON_BEHIND_TAB(Place.STATUS_LINE, "HTTP/1.1 200\tOK"),
  CONTROL_BYTE_IN_REASON(Place.STATUS_LINE, "HTTP/1.1 200 O\u0001K"),
  OTHER_PROTOCOL(Place.STATUS_LINE, "ICY/1.1 200 OK"),
  OTHER_MAJOR_VERSION(Place.STATUS_LINE, "HTTP/2.0 200 OK"),
  PROTOCOL_IN_LOWER_CASE(Place.STATUS_LINE, "http/1.1 200 OK"),
  BLANK_BEFORE_STATUS_LINE(Place.STATUS_LINE, " HTTP/1.1 200 OK"),
  CONTROL_BYTE_BEFORE_STATUS_LINE(Place.STATUS_LINE, "\u0001HTTP/1.1 200 OK"),

  BLANK_IN_NAME(Place.FIELD, "X-Broken Name: v"),
  TAB_IN_NAME(Place.FIELD, "X-Broken\tName: v"),
  NUL_IN_NAME(Place.FIELD, "X-Broken\u0000Name: v"),
  CONTROL_BYTE_IN_NAME(Place.FIELD, "X-Broken\u0001Name: v"),
  CARRIAGE_RETURN_IN_NAME(Place.FIELD, "X-Broken\rName: v"),
  DELETE_BYTE_IN_NAME(Place.FIELD, "X-Broken\u007fName: v"),
  BLANK_BEHIND_NAME(Place.FIELD, "X-Broken : v"),
  CONTROL_BYTE_BEHIND_NAME(Place.FIELD, "X-Broken\u0001: v"),
  CONTROL_BYTE_BEFORE_NAME(Place.FIELD, "\u0001X-Broken: v"),
  SEPARATOR_IN_NAME(Place.FIELD, "X-(Broken): v"),
  BYTE_ABOVE_ASCII_IN_NAME(Place.FIELD, "X-Bröken: v"),
  NAME_MISSING(Place.FIELD, ": v"),
  COLON_MISSING(Place.FIELD, "X-Broken"),
  FIRST_FIELD_BEHIND_BLANK(Place.FIELD, " X-Broken: v"),
  FOLDED_FIELD(Place.FIELD, "X-Broken: v\r\n w"),
  NUL_IN_VALUE(Place.FIELD, "X-Broken: v\u0000w"),
  CONTROL_BYTE_IN_VALUE(Place.FIELD, "X-Broken: v\u0001w"),
  CARRIAGE_RETURN_IN_VALUE(Place.FIELD, "X-Broken: v\rw"),

  WORD_BEHIND_NAME_OF_LENGTH(Place.FRAMING, "Content-Length x: 2\r\n\r\n{body}"),
  BLANK_BEHIND_NAME_OF_LENGTH(Place.FRAMING, "Content-Length : 2\r\n\r\n{body}"),
  CONTROL_BYTE_IN_NAME_OF_LENGTH(Place.FRAMING, "Content-Length\u0001: 2\r\n\r\n{body}"),
  BLANK_BEHIND_NAME_OF_CODING(Place.FRAMING, "Transfer-Encoding : chunked\r\n\r\n{chunks}"),
  LENGTH_WITH_SIGN(Place.FRAMING, "Content-Length: +{length}\r\n\r\n{body}"),
  LENGTH_BELOW_ZERO(Place.FRAMING, "Content-Length: -{length}\r\n\r\n{body}"),
  LENGTH_WITH_BASE(Place.FRAMING, "Content-Length: 0x{size}\r\n\r\n{body}"),
  LENGTH_EMPTY(Place.FRAMING, "Content-Length: \r\n\r\n{body}"),
  LENGTHS_IN_LIST(Place.FRAMING, "Content-Length: {length}, 2\r\n\r\n{body}"),
  LENGTHS_THAT_DIFFER(Place.FRAMING, "Content-Length: {length}\r\nContent-Length: 2\r\n\r\n{body}"),
  LENGTH_BESIDE_CHUNKS(
      Place.FRAMING, "Content-Length: 2\r\nTransfer-Encoding: chunked\r\n\r\n{chunks}"),
  UNKNOWN_CODING(Place.FRAMING, "Transfer-Encoding: gzip\r\n\r\n{body}"),
  UNKNOWN_CODING_LIKE_CHUNKS(Place.FRAMING, "Transfer-Encoding: xchunked\r\n\r\n{chunks}"),
  UNKNOWN_CODING_BEFORE_CHUNKS(Place.FRAMING, "Transfer-Encoding: gzip, chunked\r\n\r\n{chunks}"),
  UNKNOWN_CODING_BEHIND_CHUNKS(Place.FRAMING, "Transfer-Encoding: chunked, gzip\r\n\r\n{chunks}"),
  CHUNKS_TWICE(
      Place.FRAMING, "Transfer-Encoding: chunked\r\nTransfer-Encoding: chunked\r\n\r\n{chunks}"),
  CHUNKS_OF_OLD_VERSION(Place.FRAMING_OF_OLD_VERSION, "Transfer-Encoding: chunked\r\n\r\n{chunks}"),

  CHUNK_WITHOUT_SIZE(Place.CHUNKS, "\r\n{body}\r\n0\r\n\r\n"),
  CHUNK_SIZE_WITH_SIGN(Place.CHUNKS, "+{size}\r\n{body}\r\n0\r\n\r\n"),
  CHUNK_SIZE_WITH_BASE(Place.CHUNKS, "0x{size}\r\n{body}\r\n0\r\n\r\n"),
  CHUNK_SIZE_BEFORE_CONTROL_BYTE(Place.CHUNKS, "{size}\u0001\r\n{body}\r\n0\r\n\r\n"),
  CHUNK_SIZE_BEFORE_OTHER_WORD(Place.CHUNKS, "{size} x\r\n{body}\r\n0\r\n\r\n"),
  CHUNK_LONGER_THAN_ITS_SIZE(Place.CHUNKS, "{size}\r\n{body}more\r\n0\r\n\r\n"),
  CHUNK_WITHOUT_END(Place.CHUNKS, "{size}\r\n{body}0\r\n\r\n"),
  BLANK_IN_NAME_OF_TRAILER(Place.CHUNKS, "{size}\r\n{body}\r\n0\r\nX-Broken Name: v\r\n\r\n"),
  CONTROL_BYTE_IN_NAME_OF_TRAILER(
      Place.CHUNKS, "{size}\r\n{body}\r\n0\r\nX-Broken\u0001Name: v\r\n\r\n"),
  COLON_MISSING_IN_TRAILER(Place.CHUNKS, "{size}\r\n{body}\r\n0\r\nX-Broken\r\n\r\n");

  private static final String LINE_END = "\r\n";
  private static final String LENGTH_FRAMING = "Content-Length: {length}\r\n\r\n{body}";
  private static final String CHUNKS_HEAD = "Transfer-Encoding: chunked\r\n\r\n";
  private static final String CHUNKS = "{size}\r\n{body}\r\n0\r\n\r\n";

  private final Place place;
  private final String broken;

  MalformedAnswer(Place place, String broken) {
    this.place = place;
    this.broken = broken;
  }

  /** The part of an answer that is malformed. */
  private enum Place {
    STATUS_LINE {
      @Override
      String text(String statusLine, String fields, String broken) {
        return broken + LINE_END + fields + LENGTH_FRAMING;
      }
    },
    FIELD {
      @Override
      String text(String statusLine, String fields, String broken) {
        return statusLine + LINE_END + broken + LINE_END + fields + LENGTH_FRAMING;
      }
    },
    FRAMING {
      @Override
      String text(String statusLine, String fields, String broken) {
        return statusLine + LINE_END + fields + broken;
      }
    },
    FRAMING_OF_OLD_VERSION {
      @Override
      String text(String statusLine, String fields, String broken) {
        return statusLine.replace("HTTP/1.1", "HTTP/1.0") + LINE_END + fields + broken;
      }
    },
    CHUNKS {
      @Override
      String text(String statusLine, String fields, String broken) {
        return statusLine + LINE_END + fields + CHUNKS_HEAD + broken;
      }
    };

    abstract String text(String statusLine, String fields, String broken);
  }

  /**
   * Returns the answer. The connection may be closed behind it.
   *
   * @param statusLine status line of the answer, unless that is what is malformed
   * @param fields further lines of the head, each with its line end
   * @param body the body, of one-byte characters
   * @return the text, a byte for each character
   */
  public String text(String statusLine, String fields, String body) {
    return place
        .text(statusLine, fields, broken)
        .replace("{chunks}", CHUNKS)
        .replace("{length}", Integer.toString(body.length()))
        .replace("{size}", Integer.toHexString(body.length()))
        .replace("{body}", body);
  }

  /** Returns whether the head, which comes before the body, is malformed. */
  public boolean isHeadMalformed() {
    return place != Place.CHUNKS;
  }
}
