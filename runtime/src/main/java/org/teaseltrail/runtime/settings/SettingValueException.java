package org.teaseltrail.runtime.settings;

/** Tells that a text is no value of a setting's kind. */
public final class SettingValueException extends Exception {

  private static final long serialVersionUID = 1L;

  private final SettingsProblemKind kind;

  /**
   * Makes the failure.
   *
   * @param kind what is wrong
   * @param detail what was found and what is taken; never a secret
   */
  public SettingValueException(SettingsProblemKind kind, String detail) {
    super(detail);
    this.kind = kind;
  }

  /**
   * Returns what is wrong.
   *
   * @return the kind of problem
   */
  public SettingsProblemKind kind() {
    return kind;
  }
}
