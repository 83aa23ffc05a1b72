package org.teaseltrail.runtime.settings;

import java.util.Optional;

/**
 * Declares one setting of a program.
 *
 * <p>Example:
 *
 * <pre>{@code
 * static final Setting<Duration> HEARTBEAT =
 *     Setting.withDefault(
 *         "replica", "heartbeat", Kinds.duration("10ms", "10s"), "100ms", "Heartbeat time.");
 * }</pre>
 *
 * @param name where it stands in the file
 * @param kind what values it takes
 * @param defaultText the value that holds when it is left out; empty if there is none
 * @param required whether it must be given
 * @param exampleText the value that the example file shows
 * @param doc what it does, in one or two sentences
 * @param <T> the type of its value
 */
public record Setting<T>(
    SettingName name,
    ValueKind<T> kind,
    Optional<String> defaultText,
    boolean required,
    String exampleText,
    String doc) {

  /**
   * Declares a setting that must be given.
   *
   * @param section the section
   * @param key the key
   * @param kind what values it takes
   * @param exampleText the value that the example file shows
   * @param doc what it does
   * @param <T> the type of its value
   * @return the declaration
   */
  public static <T> Setting<T> required(
      String section, String key, ValueKind<T> kind, String exampleText, String doc) {
    return new Setting<>(
        new SettingName(section, key), kind, Optional.empty(), true, exampleText, doc);
  }

  /**
   * Declares a setting that has a default.
   *
   * @param section the section
   * @param key the key
   * @param kind what values it takes
   * @param defaultText the value that holds when it is left out
   * @param doc what it does
   * @param <T> the type of its value
   * @return the declaration
   * @throws IllegalArgumentException if the default is no value of the kind
   */
  public static <T> Setting<T> withDefault(
      String section, String key, ValueKind<T> kind, String defaultText, String doc) {
    DeclaredText.check(() -> kind.parse(defaultText));
    return new Setting<>(
        new SettingName(section, key), kind, Optional.of(defaultText), false, defaultText, doc);
  }

  /**
   * Declares a setting that may be left out and then has no value.
   *
   * @param section the section
   * @param key the key
   * @param kind what values it takes
   * @param exampleText the value that the example file shows, commented out
   * @param doc what it does, and what holds without it
   * @param <T> the type of its value
   * @return the declaration
   */
  public static <T> Setting<Optional<T>> optional(
      String section, String key, ValueKind<T> kind, String exampleText, String doc) {
    return new Setting<>(
        new SettingName(section, key),
        new OptionalKind<>(kind),
        Optional.empty(),
        false,
        exampleText,
        doc);
  }
}
