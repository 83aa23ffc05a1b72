package org.teaseltrail.core.control;

import java.util.OptionalLong;
import org.teaseltrail.core.replication.ProposalRejection;
import org.teaseltrail.core.state.Command;
import org.teaseltrail.core.state.CommandResult;

/** Proposes from time to time to drop old claims, so that all members drop the same ones. */
final class ClaimExpiryTask {

  private static final long NS_PER_MS = 1_000_000L;

  private final Leadership leadership;
  private final ControlSettings settings;
  private long dueAtNs;

  ClaimExpiryTask(Leadership leadership, ControlSettings settings) {
    this.leadership = leadership;
    this.settings = settings;
    dueAtNs = leadership.nowNs() + settings.claimExpiryIntervalMs() * NS_PER_MS;
  }

  void tick(long nowNs) {
    if (nowNs < dueAtNs) {
      return;
    }
    dueAtNs = nowNs + settings.claimExpiryIntervalMs() * NS_PER_MS;
    long logTimeMs = leadership.logTimeMs(nowNs);
    boolean limitsChanged = !leadership.claims().limits().equals(settings.claims());
    if (limitsChanged || leadership.claims().hasExpired(logTimeMs)) {
      Command command = new Command.ExpireClaims(settings.claims(), logTimeMs);
      leadership.propose(command, new IgnoredOutcome(), nowNs);
    }
  }

  OptionalLong nextWakeupNs() {
    return OptionalLong.of(dueAtNs);
  }

  /** The next look proposes again what did not come about. */
  private static final class IgnoredOutcome implements ProposalCallback {
    @Override
    public void committed(CommandResult result, long nowNs) {}

    @Override
    public void rejected(ProposalRejection reason, long nowNs) {}
  }
}
