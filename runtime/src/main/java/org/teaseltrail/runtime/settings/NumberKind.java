package org.teaseltrail.runtime.settings;

import java.util.function.Function;

/**
 * Parses a number within a range.
 *
 * @param parser converts the text to a number
 * @param noun the type of number, for messages
 * @param min the minimum value
 * @param max the maximum value
 * @param <N> the type of the number
 */
record NumberKind<N extends Number & Comparable<N>>(
    Function<String, N> parser, String noun, N min, N max) implements ValueKind<N> {

  @Override
  public N parse(String text) throws InvalidSettingValueException {
    N number;
    try {
      number = parser.apply(text);
    } catch (NumberFormatException e) {
      throw new InvalidSettingValueException(
          SettingsProblemKind.INVALID_VALUE, "'" + text + "'; takes " + description());
    }
    return RangeValidator.requireInRange(number, min, max, text, description());
  }

  @Override
  public String description() {
    return noun + " from " + min + " to " + max;
  }
}
