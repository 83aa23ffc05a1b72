package org.teaseltrail.runtime.settings;

import java.math.BigDecimal;
import java.util.regex.Matcher;
import java.util.regex.Pattern;

/**
 * Number with a unit.
 *
 * @param number the number
 * @param unit the unit, as written
 */
record Quantity(BigDecimal number, String unit) {

  private static final Pattern PATTERN =
      Pattern.compile("(\\d{1,15}(?:\\.\\d{1,6})?)\\s*([A-Za-z]*)");

  /**
   * Parses a text into a number and a unit.
   *
   * @param text the text
   * @param description what is accepted
   * @return the number and the unit
   * @throws InvalidSettingValueException if the text is not a number followed by an optional unit
   */
  static Quantity parse(String text, String description) throws InvalidSettingValueException {
    Matcher matcher = PATTERN.matcher(text);
    if (!matcher.matches()) {
      throw new InvalidSettingValueException(
          SettingsProblemKind.INVALID_VALUE, "'" + text + "'; takes " + description);
    }
    return new Quantity(new BigDecimal(matcher.group(1)), matcher.group(2));
  }

  /**
   * Creates the exception for a missing or unsupported unit.
   *
   * @param text the text
   * @param description what is accepted
   * @return the exception
   */
  static InvalidSettingValueException wrongUnitException(String text, String description) {
    return new InvalidSettingValueException(
        SettingsProblemKind.WRONG_UNIT, "'" + text + "'; takes " + description);
  }
}
