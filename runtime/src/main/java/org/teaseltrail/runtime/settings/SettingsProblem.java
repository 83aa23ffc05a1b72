package org.teaseltrail.runtime.settings;

import java.nio.file.Path;
import java.util.Optional;
import java.util.OptionalInt;

/**
 * Problem found in a settings file.
 *
 * @param kind the kind of problem
 * @param file the settings file
 * @param line its line number, counted from one; empty if a setting is missing
 * @param name the affected setting, if any
 * @param detail what was found and what is accepted; must not contain a secret
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
