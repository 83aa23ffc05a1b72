package org.teaseltrail.forward;

import io.netty.handler.codec.http.HttpResponse;
import java.util.Map;
import java.util.regex.Pattern;

/**
 * Finds the status line of another answer within the head of an answer. An answer that breaks off
 * in its head and the next one on the connection read as one head: the status of the one with the
 * id of the other.
 */
final class EmbeddedStatusLine {

  private static final String VERSION = "HTTP/1.";
  private static final Pattern STATUS_LINE = Pattern.compile("HTTP/1\\.[01] \\d{3}");

  private EmbeddedStatusLine() {}

  /** Returns whether the head of an answer holds another status line beside its own. */
  static boolean isIn(HttpResponse response) {
    if (holdsStatusLine(response.status().reasonPhrase())) {
      return true;
    }
    for (Map.Entry<String, String> header : response.headers()) {
      if (header.getKey().contains(VERSION) || holdsStatusLine(header.getValue())) {
        return true;
      }
    }
    return false;
  }

  private static boolean holdsStatusLine(String text) {
    return text.contains(VERSION) && STATUS_LINE.matcher(text).find();
  }
}
