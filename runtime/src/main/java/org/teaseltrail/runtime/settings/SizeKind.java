package org.teaseltrail.runtime.settings;

import java.math.BigDecimal;

/**
 * Parses a size such as {@code 512KiB} into a number of bytes.
 *
 * @param min the minimum value
 * @param max the maximum value
 */
record SizeKind(String min, String max) implements ValueKind<Long> {

  /** Validates the bounds, so that a mistake in a declaration fails at startup. */
  SizeKind {
    DeclarationValidator.check(() -> parseBytes(min, ""));
    DeclarationValidator.check(() -> parseBytes(max, ""));
  }

  @Override
  public Long parse(String text) throws InvalidSettingValueException {
    Long valueBytes = parseBytes(text, description());
    Long minBytes = parseBytes(min, description());
    Long maxBytes = parseBytes(max, description());
    return RangeValidator.requireInRange(valueBytes, minBytes, maxBytes, text, description());
  }

  @Override
  public String description() {
    return "a size (B, KiB, MiB, GiB) from " + min + " to " + max;
  }

  private static Long parseBytes(String text, String description)
      throws InvalidSettingValueException {
    Quantity quantity = Quantity.parse(text, description);
    SizeUnit unit =
        SizeUnit.of(quantity.unit())
            .orElseThrow(() -> Quantity.wrongUnitException(text, description));
    return quantity.number().multiply(BigDecimal.valueOf(unit.sizeBytes())).longValue();
  }
}
