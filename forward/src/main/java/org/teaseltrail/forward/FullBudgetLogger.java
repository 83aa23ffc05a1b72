package org.teaseltrail.forward;

import java.util.concurrent.TimeUnit;
import java.util.function.LongSupplier;
import org.teaseltrail.runtime.log.EventLog;
import org.teaseltrail.runtime.log.LogEvent;
import org.teaseltrail.runtime.log.LogField;

/** Logs that a budget of the memory is full, once in a while. Used on the event loop only. */
final class FullBudgetLogger implements Runnable {

  /** A budget that can be full; the name stands in the log. */
  enum Budget {
    REQUEST_BODIES,
    REQUEST_HEADS,
    SMALL_ANSWERS,
    ANSWERS
  }

  private static final long MIN_INTERVAL_NS = TimeUnit.SECONDS.toNanos(1);

  private final EventLog log;
  private final Budget budget;
  private final LongSupplier heldBytes;
  private long lastNs = System.nanoTime() - MIN_INTERVAL_NS;

  FullBudgetLogger(EventLog log, Budget budget, LongSupplier heldBytes) {
    this.log = log;
    this.budget = budget;
    this.heldBytes = heldBytes;
  }

  @Override
  public void run() {
    long nowNs = System.nanoTime();
    if (nowNs - lastNs < MIN_INTERVAL_NS) {
      return;
    }
    lastNs = nowNs;
    log.line(LogEvent.MEMORY_SHARE_FULL)
        .with(LogField.BUDGET, budget.name())
        .with(LogField.HELD_BYTES, heldBytes.getAsLong())
        .write();
  }
}
