package org.teaseltrail.runtime.settings;

/** Validates that a value lies within bounds. */
final class RangeValidator {

  private RangeValidator() {}

  /**
   * Returns a value if it lies within the bounds.
   *
   * @param value the value to check
   * @param min the minimum value
   * @param max the maximum value
   * @param text the text that the value was parsed from
   * @param description what is accepted
   * @param <T> the type of the value
   * @return the value
   * @throws InvalidSettingValueException if the value is out of range
   */
  static <T extends Comparable<T>> T requireInRange(
      T value, T min, T max, String text, String description) throws InvalidSettingValueException {
    if (value.compareTo(min) < 0 || value.compareTo(max) > 0) {
      throw new InvalidSettingValueException(
          SettingsProblemKind.OUT_OF_RANGE, "'" + text + "'; takes " + description);
    }
    return value;
  }
}
