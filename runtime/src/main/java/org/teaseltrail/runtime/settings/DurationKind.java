package org.teaseltrail.runtime.settings;

import java.math.BigDecimal;
import java.time.Duration;

/**
 * Parses a duration such as {@code 500ms} or {@code 3s}.
 *
 * @param min the minimum value
 * @param max the maximum value
 */
record DurationKind(String min, String max) implements ValueKind<Duration> {

  /** Validates the bounds, so that a mistake in a declaration fails at startup. */
  DurationKind {
    DeclarationValidator.check(() -> parseDuration(min, ""));
    DeclarationValidator.check(() -> parseDuration(max, ""));
  }

  @Override
  public Duration parse(String text) throws InvalidSettingValueException {
    Duration value = parseDuration(text, description());
    Duration minValue = parseDuration(min, description());
    Duration maxValue = parseDuration(max, description());
    return RangeValidator.requireInRange(value, minValue, maxValue, text, description());
  }

  @Override
  public String description() {
    return "a duration (ms, s, m, h, d) from " + min + " to " + max;
  }

  private static Duration parseDuration(String text, String description)
      throws InvalidSettingValueException {
    Quantity quantity = Quantity.parse(text, description);
    DurationUnit unit =
        DurationUnit.of(quantity.unit())
            .orElseThrow(() -> Quantity.wrongUnitException(text, description));
    return Duration.ofNanos(
        quantity.number().multiply(BigDecimal.valueOf(unit.lengthNs())).longValue());
  }
}
