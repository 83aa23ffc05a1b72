package org.teaseltrail.entry;

import java.util.Optional;
import java.util.regex.Matcher;
import java.util.regex.Pattern;

/** Reads parts of HTTP messages that tests hold as text. */
final class HttpText {

  private HttpText() {}

  /** Returns the value of a header of a head. */
  static Optional<String> header(String head, String name) {
    Matcher line = Pattern.compile("(?im)^" + name + ": *(.*?)\\s*$").matcher(head);
    return line.find() ? Optional.of(line.group(1)) : Optional.empty();
  }
}
