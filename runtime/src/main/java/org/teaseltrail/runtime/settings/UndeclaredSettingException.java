package org.teaseltrail.runtime.settings;

/** Tells that a program asks for a setting it did not declare: a fault of the program. */
public final class UndeclaredSettingException extends RuntimeException {

  private static final long serialVersionUID = 1L;

  /**
   * Makes the failure.
   *
   * @param name the setting
   */
  public UndeclaredSettingException(SettingName name) {
    super(name + " is not in the program's list of settings");
  }
}
