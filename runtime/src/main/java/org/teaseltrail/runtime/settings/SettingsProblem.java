package org.teaseltrail.runtime.settings;

import java.nio.file.Path;
import java.util.Optional;
import java.util.OptionalInt;

/**
 * Is one thing that is wrong with a settings file.
 *
 * @param kind what is wrong
 * @param file the settings file
 * @param line the line it stands on, counted from one; empty for what is left out
 * @param name the setting it is about, if any
 * @param detail what was found and what is taken; never a secret
 */
public record SettingsProblem(
    SettingsProblemKind kind,
    Path file,
    OptionalInt line,
    Optional<SettingName> name,
    String detail) {

  /**
   * Returns the problem as one line for an operator.
   *
   * @return file, line, setting, kind and detail
   */
  public String describe() {
    StringBuilder text = new StringBuilder(file.toString());
    line.ifPresent(number -> text.append(':').append(number));
    text.append(": ");
    name.ifPresent(setting -> text.append(setting).append(": "));
    return text.append(kind.label()).append(": ").append(detail).toString();
  }
}
