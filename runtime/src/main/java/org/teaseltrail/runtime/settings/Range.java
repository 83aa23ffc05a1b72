package org.teaseltrail.runtime.settings;

/** Checks that a value lies between two bounds. */
final class Range {

  private Range() {}

  /**
   * Checks a value.
   *
   * @param value the value
   * @param least the least value
   * @param greatest the greatest value
   * @param text the text it was read from
   * @param description what is taken
   * @param <T> the type of the value
   * @return the value
   * @throws SettingValueException if it lies outside
   */
  static <T extends Comparable<T>> T checked(
      T value, T least, T greatest, String text, String description) throws SettingValueException {
    if (value.compareTo(least) < 0 || value.compareTo(greatest) > 0) {
      throw new SettingValueException(
          SettingsProblemKind.OUT_OF_RANGE, "'" + text + "'; takes " + description);
    }
    return value;
  }
}
