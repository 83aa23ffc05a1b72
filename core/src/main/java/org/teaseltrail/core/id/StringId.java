package org.teaseltrail.core.id;

/**
 * Identifier that consists of a single printable string. Codecs encode it as that string.
 *
 * <p>Ids that are map keys on the request path implement {@code equals} and {@code hashCode}
 * explicitly. The implicit ones of a record are linked at their first call after each process start
 * and run as method handles, which makes every lookup slower until the JIT has compiled the code.
 */
public interface StringId {

  /** Maximum length of an id, in characters. */
  int MAX_LENGTH = 200;

  /**
   * Returns the text of the id.
   *
   * @return the text, never blank
   */
  String value();

  /**
   * Validates the text of an id.
   *
   * @param value the text
   * @param kind kind of the id, for the error message
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
