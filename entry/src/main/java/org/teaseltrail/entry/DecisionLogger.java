package org.teaseltrail.entry;

import java.util.Locale;
import org.teaseltrail.core.entry.EntryDecision;
import org.teaseltrail.runtime.log.ComponentLogger;
import org.teaseltrail.runtime.log.DecisionLog;

/** Writes the node's decisions to the decision log. */
final class DecisionLogger {

  private final DecisionLog log = new DecisionLog(new ComponentLogger("entry"));

  void write(EntryDecision decision) {
    log.line(decision.kind().name().toLowerCase(Locale.ROOT))
        .with("request", decision.request())
        .with("customer", decision.customer())
        .with("tier", decision.tier())
        .with("upstream", decision.upstream())
        .reason(decision.reason())
        .write();
  }
}
