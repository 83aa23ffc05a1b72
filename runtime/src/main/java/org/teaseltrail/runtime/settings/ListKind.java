package org.teaseltrail.runtime.settings;

import java.util.ArrayList;
import java.util.List;

/**
 * Parses a comma-separated list.
 *
 * @param element the kind of the elements
 * @param <T> the type of the elements
 */
record ListKind<T>(ValueKind<T> element) implements ValueKind<List<T>> {

  @Override
  public List<T> parse(String text) throws InvalidSettingValueException {
    List<T> values = new ArrayList<>();
    for (String part : text.split(",", -1)) {
      if (part.isBlank()) {
        throw new InvalidSettingValueException(
            SettingsProblemKind.INVALID_VALUE, "an empty part; takes " + description());
      }
      values.add(element.parse(part.trim()));
    }
    return List.copyOf(values);
  }

  @Override
  public String description() {
    return "a list, with commas between, of: " + element.description();
  }
}
