package org.teaseltrail.runtime.settings;

import java.util.List;
import java.util.Locale;
import java.util.stream.Collectors;

/**
 * Parses one of a fixed set of values, written in lower case with hyphens.
 *
 * @param choices the accepted values
 * @param <T> the type of the values
 */
record ChoiceKind<T>(List<T> choices) implements ValueKind<T> {

  @Override
  public T parse(String text) throws InvalidSettingValueException {
    for (T choice : choices) {
      if (textOf(choice).equals(text)) {
        return choice;
      }
    }
    throw new InvalidSettingValueException(
        SettingsProblemKind.INVALID_VALUE, "'" + text + "'; takes " + description());
  }

  @Override
  public String description() {
    return choices.stream().map(ChoiceKind::textOf).collect(Collectors.joining(" or "));
  }

  private static String textOf(Object choice) {
    return choice.toString().toLowerCase(Locale.ROOT).replace('_', '-');
  }
}
