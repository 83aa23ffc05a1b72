package org.teaseltrail.runtime.settings;

/**
 * Parser for one kind of setting value.
 *
 * @param <T> the type of the value
 */
public interface ValueKind<T> {

  /**
   * Parses a value.
   *
   * @param text the text, trimmed and not empty
   * @return the value
   * @throws InvalidSettingValueException if the text is not a valid value
   */
  T parse(String text) throws InvalidSettingValueException;

  /**
   * Returns what the kind accepts, with its units and range, for documentation and messages.
   *
   * @return a short description
   */
  String description();
}
