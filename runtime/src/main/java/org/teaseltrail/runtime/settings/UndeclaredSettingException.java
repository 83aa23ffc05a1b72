package org.teaseltrail.runtime.settings;

/** Thrown when a program reads a setting that it does not declare, which is a programming error. */
public final class UndeclaredSettingException extends RuntimeException {

  private static final long serialVersionUID = 1L;

  /**
   * Creates the exception.
   *
   * @param name the setting
   */
  public UndeclaredSettingException(SettingName name) {
    super(name + " is not declared by the program");
  }
}
