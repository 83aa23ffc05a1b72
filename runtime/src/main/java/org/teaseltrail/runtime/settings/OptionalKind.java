package org.teaseltrail.runtime.settings;

import java.util.Optional;

/**
 * Reads a value that may be left out.
 *
 * @param inner reads the value when it is there
 * @param <T> the type of the value
 */
record OptionalKind<T>(ValueKind<T> inner) implements ValueKind<Optional<T>> {

  @Override
  public Optional<T> parse(String text) throws SettingValueException {
    return Optional.of(inner.parse(text));
  }

  @Override
  public String description() {
    return inner.description();
  }
}
