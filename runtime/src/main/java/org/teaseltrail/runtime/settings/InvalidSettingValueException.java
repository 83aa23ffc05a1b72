package org.teaseltrail.runtime.settings;

/** Thrown when a text is not a valid value of a setting. */
public final class InvalidSettingValueException extends Exception {

  private static final long serialVersionUID = 1L;

  private final SettingsProblemKind kind;

  /**
   * Creates the exception.
   *
   * @param kind the kind of problem
   * @param detail what was found and what is accepted; must not contain a secret
   */
  public InvalidSettingValueException(SettingsProblemKind kind, String detail) {
    super(detail);
    this.kind = kind;
  }

  /**
   * Returns the kind of problem.
   *
   * @return the kind of problem
   */
  public SettingsProblemKind kind() {
    return kind;
  }
}
