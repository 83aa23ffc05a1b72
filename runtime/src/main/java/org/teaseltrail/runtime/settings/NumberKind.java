package org.teaseltrail.runtime.settings;

import java.util.function.Function;

/**
 * Reads a number within a range.
 *
 * @param parser makes the number
 * @param noun what it is, for messages
 * @param least the least value
 * @param greatest the greatest value
 * @param <N> the type of the number
 */
record NumberKind<N extends Number & Comparable<N>>(
    Function<String, N> parser, String noun, N least, N greatest) implements ValueKind<N> {

  @Override
  public N parse(String text) throws SettingValueException {
    N number;
    try {
      number = parser.apply(text);
    } catch (NumberFormatException e) {
      throw new SettingValueException(
          SettingsProblemKind.INVALID_VALUE, "'" + text + "'; takes " + description());
    }
    return Range.checked(number, least, greatest, text, description());
  }

  @Override
  public String description() {
    return noun + " from " + least + " to " + greatest;
  }
}
