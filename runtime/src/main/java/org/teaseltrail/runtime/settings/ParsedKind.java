package org.teaseltrail.runtime.settings;

import java.util.function.Function;

/**
 * Reads a text by a function that throws for what it doesn't take.
 *
 * @param parser makes the value
 * @param refusal what the parser throws
 * @param description what it takes
 * @param <T> the type of the value
 */
record ParsedKind<T>(
    Function<String, T> parser, Class<? extends RuntimeException> refusal, String description)
    implements ValueKind<T> {

  @Override
  public T parse(String text) throws SettingValueException {
    try {
      return parser.apply(text);
    } catch (RuntimeException e) {
      if (!refusal.isInstance(e)) {
        throw e;
      }
      throw new SettingValueException(
          SettingsProblemKind.INVALID_VALUE,
          "'" + text + "' (" + e.getMessage() + "); takes " + description);
    }
  }
}
