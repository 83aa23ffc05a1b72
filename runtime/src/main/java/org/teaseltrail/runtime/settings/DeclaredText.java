package org.teaseltrail.runtime.settings;

/** Checks the bounds and defaults that a program's declarations give as text. */
final class DeclaredText {

  private DeclaredText() {}

  /**
   * Checks a text.
   *
   * @param reader reads it
   * @throws IllegalArgumentException if it can't be read
   */
  static void check(Reader reader) {
    try {
      reader.read();
    } catch (SettingValueException e) {
      throw new IllegalArgumentException("declared text " + e.getMessage(), e);
    }
  }

  /** Reads a declared text. */
  interface Reader {

    /** Reads it, and throws if it is no value of the kind. */
    Object read() throws SettingValueException;
  }
}
