package org.teaseltrail.runtime.settings;

/** Validates the bounds and defaults that a program's declarations specify as text. */
final class DeclaredText {

  private DeclaredText() {}

  /**
   * Checks that a declared text can be parsed.
   *
   * @param reader parses the text
   * @throws IllegalArgumentException if the text is invalid
   */
  static void check(Reader reader) {
    try {
      reader.read();
    } catch (SettingValueException e) {
      throw new IllegalArgumentException(
          "invalid default or bound in a declaration: " + e.getMessage(), e);
    }
  }

  /** Parses a declared text. */
  interface Reader {

    /** Parses the text and throws if it is not a valid value. */
    Object read() throws SettingValueException;
  }
}
