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
  CONTROL_BYTE_BEFORE_STATUS_LINE(Place.STATUS_LINE, "\u0001HTTP/1.1 200 OK");

  private static final String LINE_END = "\r\n";
  private static final String LENGTH_FRAMING = "Content-Length: {length}\r\n\r\n{body}";

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
        .replace("{length}", Integer.toString(body.length()))
        .replace("{body}", body);
  }
}
