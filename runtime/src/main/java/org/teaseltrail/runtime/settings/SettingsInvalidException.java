package org.teaseltrail.runtime.settings;

import java.util.List;
import java.util.stream.Collectors;

/** Tells all that is wrong with a settings file, together. */
public final class SettingsInvalidException extends Exception {

  private static final long serialVersionUID = 1L;

  private final transient List<SettingsProblem> problems;

  /**
   * Makes the failure.
   *
   * @param problems what is wrong; at least one
   */
  public SettingsInvalidException(List<SettingsProblem> problems) {
    super(describe(problems));
    this.problems = List.copyOf(problems);
  }

  /**
   * Returns what is wrong, in the order of the file, then what is left out.
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
