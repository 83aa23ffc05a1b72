package org.teaseltrail.runtime.settings;

import java.util.Optional;

/**
 * Parses the value of an optional setting.
 *
 * @param inner the kind of the value if it is present
 * @param <T> the type of the value
 */
record OptionalKind<T>(ValueKind<T> inner) implements ValueKind<Optional<T>> {

  @Override
  public Optional<T> parse(String text) throws InvalidSettingValueException {
    return Optional.of(inner.parse(text));
  }

  @Override
  public String description() {
    return inner.description();
  }
}
