package org.teaseltrail.runtime.settings;

import java.util.List;
import java.util.Locale;
import java.util.stream.Collectors;

/**
 * Reads one of a few values, written in lower case with hyphens.
 *
 * @param choices the values
 * @param <T> the type of the values
 */
record ChoiceKind<T>(List<T> choices) implements ValueKind<T> {

  @Override
  public T parse(String text) throws SettingValueException {
    for (T choice : choices) {
      if (written(choice).equals(text)) {
        return choice;
      }
    }
    throw new SettingValueException(
        SettingsProblemKind.INVALID_VALUE, "'" + text + "'; takes " + description());
  }

  @Override
  public String description() {
    return choices.stream().map(ChoiceKind::written).collect(Collectors.joining(" or "));
  }

  private static String written(Object choice) {
    return choice.toString().toLowerCase(Locale.ROOT).replace('_', '-');
  }
}
