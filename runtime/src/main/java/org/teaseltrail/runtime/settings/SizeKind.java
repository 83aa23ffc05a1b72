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
    DeclaredText.check(() -> parseBytes(min, ""));
    DeclaredText.check(() -> parseBytes(max, ""));
  }

  @Override
  public Long parse(String text) throws SettingValueException {
    Long valueBytes = parseBytes(text, description());
    Long minBytes = parseBytes(min, description());
    Long maxBytes = parseBytes(max, description());
    return Range.checked(valueBytes, minBytes, maxBytes, text, description());
  }

  @Override
  public String description() {
    return "a size (B, KiB, MiB, GiB) from " + min + " to " + max;
  }

  private static Long parseBytes(String text, String description) throws SettingValueException {
    UnitAmount quantity = UnitAmount.parse(text, description);
    SizeUnit unit =
        SizeUnit.of(quantity.unit()).orElseThrow(() -> UnitAmount.wrongUnit(text, description));
    return quantity.number().multiply(BigDecimal.valueOf(unit.sizeBytes())).longValue();
  }
}
