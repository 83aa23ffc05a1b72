package org.teaseltrail.runtime.settings;

import java.math.BigDecimal;
import java.time.Duration;

/**
 * Reads a duration such as {@code 500ms} or {@code 3s}.
 *
 * @param least the least value
 * @param greatest the greatest value
 */
record DurationKind(String least, String greatest) implements ValueKind<Duration> {

  /** Checks the bounds, so that a mistake in a program shows at once. */
  DurationKind {
    DeclaredText.check(() -> amount(least, ""));
    DeclaredText.check(() -> amount(greatest, ""));
  }

  @Override
  public Duration parse(String text) throws SettingValueException {
    Duration value = amount(text, description());
    Duration leastValue = amount(least, description());
    Duration greatestValue = amount(greatest, description());
    return Range.checked(value, leastValue, greatestValue, text, description());
  }

  @Override
  public String description() {
    return "a duration (ms, s, m, h, d) from " + least + " to " + greatest;
  }

  private static Duration amount(String text, String description) throws SettingValueException {
    UnitAmount amount = UnitAmount.parse(text, description);
    DurationUnit unit =
        DurationUnit.of(amount.unit()).orElseThrow(() -> UnitAmount.wrongUnit(text, description));
    return Duration.ofNanos(
        amount.number().multiply(BigDecimal.valueOf(unit.lengthNs())).longValue());
  }
}
