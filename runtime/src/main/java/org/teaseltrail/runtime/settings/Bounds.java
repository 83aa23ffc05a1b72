package org.teaseltrail.runtime.settings;

/** Checks the bounds that a program's declarations give. */
final class Bounds {

  private Bounds() {}

  /**
   * Checks a bound.
   *
   * @param reader reads it
   * @throws IllegalArgumentException if it can't be read
   */
  static void check(Reader reader) {
    try {
      reader.read();
    } catch (SettingValueException e) {
      throw new IllegalArgumentException("bound " + e.getMessage(), e);
    }
  }

  /** Reads a bound. */
  interface Reader {

    /** Reads it, and throws if it is no value of the kind. */
    Object read() throws SettingValueException;
  }
}
