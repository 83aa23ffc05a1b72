package org.teaseltrail.core.id;

/**
 * Is an id whose whole content is one printable text. Codecs write it as that text.
 *
 * <p>Those that are keys of maps on the way of a request write {@code equals} and {@code hashCode}
 * out. A record's own are made when they are first called, at each start of the process anew, and
 * run as method handles, which a lightly compiled program pays for with each look-up.
 */
public interface StringId {

  /** Longest text of an id, in characters. */
  int MAX_LENGTH = 200;

  /**
   * Returns the text of the id.
   *
   * @return the text, never blank
   */
  String value();

  /**
   * Checks the text of an id.
   *
   * @param value the text
   * @param kind what the id names, for the failure's message
   * @return the same text
   * @throws InvalidIdException if the text is missing, blank, too long or not printable ASCII
   */
  static String checked(String value, String kind) {
    if (value == null || value.isBlank()) {
      throw new InvalidIdException(kind, "is blank");
    }
    if (value.length() > MAX_LENGTH) {
      throw new InvalidIdException(kind, "is longer than " + MAX_LENGTH + " characters");
    }
    if (!value.chars().allMatch(c -> c > ' ' && c < 127)) {
      throw new InvalidIdException(kind, "holds a character that is not printable ASCII");
    }
    return value;
  }
}
