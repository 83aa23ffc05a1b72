package org.teaseltrail.wire.http;

import java.util.Map;
import java.util.OptionalInt;
import java.util.regex.Matcher;
import java.util.regex.Pattern;

/**
 * Finds the status line of another answer within the head of an HTTP answer. An answer that breaks
 * off in its head and the next one on the connection read as one head: the status of the one with
 * the headers and the body of the other.
 */
public final class EmbeddedStatusLine {

  private static final String VERSION = "HTTP/1.";
  private static final Pattern STATUS_LINE = Pattern.compile("HTTP/1\\.[01] \\d{3}");
  private static final Pattern STATUS_LINE_AT_END =
      Pattern.compile("HTTP/1\\.[01] (\\d{3})(?: [^\\r\\n]*)?$");

  private EmbeddedStatusLine() {}

  /**
   * Returns whether the head of an answer holds another status line beside its own.
   *
   * @param reasonPhrase the reason phrase of its own status line
   * @param headers its headers
   * @return true if it does
   */
  public static boolean isIn(String reasonPhrase, Iterable<Map.Entry<String, String>> headers) {
    if (isIn(reasonPhrase)) {
      return true;
    }
    for (Map.Entry<String, String> header : headers) {
      if (header.getKey().contains(VERSION) || isIn(header.getValue())) {
        return true;
      }
    }
    return false;
  }

  /**
   * Returns whether a line of text holds a status line.
   *
   * @param text the text
   * @return true if it does
   */
  public static boolean isIn(String text) {
    return text.contains(VERSION) && STATUS_LINE.matcher(text).find();
  }

  /**
   * Returns the status of the status line with which a line of text ends.
   *
   * @param text the text
   * @return the status; empty if the text ends with no status line
   */
  public static OptionalInt statusAtEnd(String text) {
    int from = text.lastIndexOf(VERSION);
    if (from < 0) {
      return OptionalInt.empty();
    }
    Matcher line = STATUS_LINE_AT_END.matcher(text.substring(from));
    return line.matches() ? OptionalInt.of(Integer.parseInt(line.group(1))) : OptionalInt.empty();
  }
}
