package org.teaseltrail.runtime.settings;

import java.math.BigDecimal;

/**
 * Reads a size such as {@code 512KiB} as a number of bytes.
 *
 * @param least the least value
 * @param greatest the greatest value
 */
record SizeKind(String least, String greatest) implements ValueKind<Long> {

  /** Checks the bounds, so that a mistake in a program shows at once. */
  SizeKind {
    DeclaredText.check(() -> amountBytes(least, ""));
    DeclaredText.check(() -> amountBytes(greatest, ""));
  }

  @Override
  public Long parse(String text) throws SettingValueException {
    Long valueBytes = amountBytes(text, description());
    Long leastBytes = amountBytes(least, description());
    Long greatestBytes = amountBytes(greatest, description());
    return Range.checked(valueBytes, leastBytes, greatestBytes, text, description());
  }

  @Override
  public String description() {
    return "a size (B, KiB, MiB, GiB) from " + least + " to " + greatest;
  }

  private static Long amountBytes(String text, String description) throws SettingValueException {
    UnitAmount amount = UnitAmount.parse(text, description);
    SizeUnit unit =
        SizeUnit.of(amount.unit()).orElseThrow(() -> UnitAmount.wrongUnit(text, description));
    return amount.number().multiply(BigDecimal.valueOf(unit.sizeBytes())).longValue();
  }
}
