package org.teaseltrail.runtime.settings;

import java.util.function.Function;

/**
 * Parses a text with a function that throws an exception for invalid text.
 *
 * @param parser converts the text to a value
 * @param exceptionType the type of exception that the parser throws for invalid text
 * @param description what is accepted
 * @param <T> the type of the value
 */
record ParsedKind<T>(
    Function<String, T> parser, Class<? extends RuntimeException> exceptionType, String description)
    implements ValueKind<T> {

  @Override
  public T parse(String text) throws InvalidSettingValueException {
    try {
      return parser.apply(text);
    } catch (RuntimeException e) {
      if (!exceptionType.isInstance(e)) {
        throw e;
      }
      throw new InvalidSettingValueException(
          SettingsProblemKind.INVALID_VALUE,
          "'" + text + "' (" + e.getMessage() + "); takes " + description);
    }
  }
}
