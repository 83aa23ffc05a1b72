package org.teaseltrail.runtime.settings;

/** Validates the bounds and defaults that a program's declarations specify as text. */
final class DeclarationValidator {

  private DeclarationValidator() {}

  /**
   * Checks that a default is accepted as the value of a setting. A blank one isn't, whatever the
   * kind: the program would not start with settings that leave it out.
   *
   * @param kind the kind of the setting
   * @param defaultText the default
   * @throws IllegalArgumentException if the default is not a valid value
   */
  static void checkDefault(ValueKind<?> kind, String defaultText) {
    if (defaultText.isBlank()) {
      throw new IllegalArgumentException("blank default in a declaration; declare it optional");
    }
    check(() -> kind.parse(defaultText));
  }

  /**
   * Checks that a declared text can be parsed.
   *
   * @param reader parses the text
   * @throws IllegalArgumentException if the text is invalid
   */
  static void check(ParseAction reader) {
    try {
      reader.parse();
    } catch (InvalidSettingValueException e) {
      throw new IllegalArgumentException(
          "invalid default or bound in a declaration: " + e.getMessage(), e);
    }
  }

  /** Parses a declared text. */
  interface ParseAction {

    /** Parses the text and throws if it is not a valid value. */
    Object parse() throws InvalidSettingValueException;
  }
}
