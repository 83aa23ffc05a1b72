package org.teaseltrail.runtime.settings;

import java.util.Optional;

/**
 * Declaration of one setting of a program.
 *
 * <p>Example:
 *
 * <pre>{@code
 * static final Setting<Duration> HEARTBEAT =
 *     Setting.withDefault(
 *         "replica", "heartbeat", ValueKinds.duration("10ms", "10s"), "100ms", "Heartbeat time.");
 * }</pre>
 *
 * @param name its section and key
 * @param kind the kind of its value
 * @param defaultText the value that applies if the setting is absent; empty if there is none
 * @param required whether it must be present
 * @param exampleText the value in the example file
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
   * Declares a required setting.
   *
   * @param section the section
   * @param key the key
   * @param kind the kind of its value
   * @param exampleText the value in the example file
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
   * Declares a setting with a default.
   *
   * @param section the section
   * @param key the key
   * @param kind the kind of its value
   * @param defaultText the value that applies if the setting is absent
   * @param doc what it does
   * @param <T> the type of its value
   * @return the declaration
   * @throws IllegalArgumentException if the default is not a valid value
   */
  public static <T> Setting<T> withDefault(
      String section, String key, ValueKind<T> kind, String defaultText, String doc) {
    DeclarationValidator.checkDefault(kind, defaultText);
    return new Setting<>(
        new SettingName(section, key), kind, Optional.of(defaultText), false, defaultText, doc);
  }

  /**
   * Declares an optional setting without a default.
   *
   * @param section the section
   * @param key the key
   * @param kind the kind of its value
   * @param exampleText the value in the example file, commented out
   * @param doc what it does, and what applies without it
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
