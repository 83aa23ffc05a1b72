package org.teaseltrail.runtime.settings;

import java.math.BigDecimal;
import java.util.regex.Matcher;
import java.util.regex.Pattern;

/**
 * Is a number with the unit behind it.
 *
 * @param number the number
 * @param unit the unit, as written
 */
record UnitAmount(BigDecimal number, String unit) {

  private static final Pattern SHAPE =
      Pattern.compile("(\\d{1,15}(?:\\.\\d{1,6})?)\\s*([A-Za-z]*)");

  /**
   * Splits a text into number and unit.
   *
   * @param text the text
   * @param description what is taken
   * @return both
   * @throws SettingValueException if the text is no number with a unit
   */
  static UnitAmount parse(String text, String description) throws SettingValueException {
    Matcher matcher = SHAPE.matcher(text);
    if (!matcher.matches()) {
      throw new SettingValueException(
          SettingsProblemKind.INVALID_VALUE, "'" + text + "'; takes " + description);
    }
    return new UnitAmount(new BigDecimal(matcher.group(1)), matcher.group(2));
  }

  /**
   * Tells that a unit is missing or not one of the kind's.
   *
   * @param text the text
   * @param description what is taken
   * @return the failure
   */
  static SettingValueException wrongUnit(String text, String description) {
    return new SettingValueException(
        SettingsProblemKind.WRONG_UNIT, "'" + text + "'; takes " + description);
  }
}
