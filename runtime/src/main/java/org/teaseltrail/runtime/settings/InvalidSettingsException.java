package org.teaseltrail.runtime.settings;

import java.util.List;
import java.util.stream.Collectors;

/** Thrown when a settings file is invalid; lists all problems of the file. */
public final class InvalidSettingsException extends Exception {

  private static final long serialVersionUID = 1L;

  private final transient List<SettingsProblem> problems;

  /**
   * Creates the exception.
   *
   * @param problems the problems; at least one
   */
  public InvalidSettingsException(List<SettingsProblem> problems) {
    super(describe(problems));
    this.problems = List.copyOf(problems);
  }

  /**
   * Returns the problems in the order of the file, followed by missing settings.
   *
   * @return the problems
   */
  public List<SettingsProblem> problems() {
    return problems;
  }

  private static String describe(List<SettingsProblem> problems) {
    return problems.stream()
        .map(SettingsProblem::describe)
        .collect(Collectors.joining(System.lineSeparator()));
  }
}
