package org.teaseltrail.runtime.settings;

import java.math.BigDecimal;

/**
 * Reads a size such as {@code 512KiB} as a number of bytes.
 *
 * @param least the least value
 * @param greatest the greatest value
 */
record SizeKind(String least, String greatest) implements ValueKind<Long> {

  @Override
  public Long parse(String text) throws SettingValueException {
    Long valueBytes = amountBytes(text);
    return Range.checked(
        valueBytes, amountBytes(least), amountBytes(greatest), text, description());
  }

  @Override
  public String description() {
    return "a size (B, KiB, MiB, GiB) from " + least + " to " + greatest;
  }

  private Long amountBytes(String text) throws SettingValueException {
    UnitAmount amount = UnitAmount.parse(text, description());
    SizeUnit unit =
        SizeUnit.of(amount.unit())
            .orElseThrow(
                () ->
                    new SettingValueException(
                        SettingsProblemKind.WRONG_UNIT, "'" + text + "'; takes " + description()));
    return amount.number().multiply(BigDecimal.valueOf(unit.sizeBytes())).longValue();
  }
}
