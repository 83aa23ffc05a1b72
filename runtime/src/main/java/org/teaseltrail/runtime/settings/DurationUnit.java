package org.teaseltrail.runtime.settings;

import java.util.Optional;

/** Unit of a duration. */
enum DurationUnit {
  MILLISECONDS("ms", 1_000_000L),
  SECONDS("s", 1_000_000_000L),
  MINUTES("m", 60_000_000_000L),
  HOURS("h", 3_600_000_000_000L),
  DAYS("d", 86_400_000_000_000L);

  private final String symbol;
  private final long lengthNs;

  DurationUnit(String symbol, long lengthNs) {
    this.symbol = symbol;
    this.lengthNs = lengthNs;
  }

  long lengthNs() {
    return lengthNs;
  }

  static Optional<DurationUnit> of(String symbol) {
    for (DurationUnit unit : values()) {
      if (unit.symbol.equals(symbol)) {
        return Optional.of(unit);
      }
    }
    return Optional.empty();
  }
}
