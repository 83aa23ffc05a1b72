package org.teaseltrail.runtime.settings;

/**
 * Reads the text of one kind of value.
 *
 * @param <T> the type of the value
 */
public interface ValueKind<T> {

  /**
   * Reads a value.
   *
   * @param text the text, trimmed, never empty
   * @return the value
   * @throws SettingValueException if the text is no value of this kind
   */
  T parse(String text) throws SettingValueException;

  /**
   * Returns what the kind takes, with its units and range, for pages and messages.
   *
   * @return a short description
   */
  String description();
}
