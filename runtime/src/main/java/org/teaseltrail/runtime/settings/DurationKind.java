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

  @Override
  public Duration parse(String text) throws SettingValueException {
    Duration value = amount(text);
    return Range.checked(value, amount(least), amount(greatest), text, description());
  }

  @Override
  public String description() {
    return "a duration (ms, s, min, h) from " + least + " to " + greatest;
  }

  private Duration amount(String text) throws SettingValueException {
    UnitAmount amount = UnitAmount.parse(text, description());
    DurationUnit unit =
        DurationUnit.of(amount.unit())
            .orElseThrow(
                () ->
                    new SettingValueException(
                        SettingsProblemKind.WRONG_UNIT, "'" + text + "'; takes " + description()));
    return Duration.ofNanos(
        amount.number().multiply(BigDecimal.valueOf(unit.lengthNs())).longValue());
  }
}
