package org.teaseltrail.runtime.settings;

import java.util.Optional;

/** Unit of a size. */
enum SizeUnit {
  BYTES("B", 1L),
  KIBIBYTES("KiB", 1L << 10),
  MEBIBYTES("MiB", 1L << 20),
  GIBIBYTES("GiB", 1L << 30);

  private final String symbol;
  private final long sizeBytes;

  SizeUnit(String symbol, long sizeBytes) {
    this.symbol = symbol;
    this.sizeBytes = sizeBytes;
  }

  long sizeBytes() {
    return sizeBytes;
  }

  static Optional<SizeUnit> of(String symbol) {
    for (SizeUnit unit : values()) {
      if (unit.symbol.equals(symbol)) {
        return Optional.of(unit);
      }
    }
    return Optional.empty();
  }
}
