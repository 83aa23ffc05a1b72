package org.teaseltrail.core.control;

import java.util.OptionalLong;
import org.teaseltrail.core.replication.ProposalRejection;
import org.teaseltrail.core.state.Command;
import org.teaseltrail.core.state.CommandResult;

/**
 * Periodically proposes a command that removes expired claims, so that all members remove the same
 * ones.
 */
final class ClaimExpiryTask {

  private static final long NS_PER_MS = 1_000_000L;

  private final Leadership leadership;
  private final ControlSettings settings;
  private long nextCheckNs;

  ClaimExpiryTask(Leadership leadership, ControlSettings settings) {
    this.leadership = leadership;
    this.settings = settings;
    nextCheckNs = leadership.nowNs() + settings.claimExpiryIntervalMs() * NS_PER_MS;
  }

  void tick(long nowNs) {
    if (nowNs < nextCheckNs) {
      return;
    }
    nextCheckNs = nowNs + settings.claimExpiryIntervalMs() * NS_PER_MS;
    long logTimeMs = leadership.logTimeMs(nowNs);
    boolean limitsChanged = !leadership.claims().limits().equals(settings.claims());
    if (limitsChanged || leadership.claims().hasExpired(logTimeMs)) {
      Command command = new Command.ExpireClaims(settings.claims(), logTimeMs);
      leadership.propose(command, new IgnoringCallback(), nowNs);
    }
  }

  OptionalLong nextWakeupNs() {
    return OptionalLong.of(nextCheckNs);
  }

  /** Ignores the outcome: the next check proposes again whatever was not committed. */
  private static final class IgnoringCallback implements ProposalCallback {
    @Override
    public void committed(CommandResult result, long nowNs) {}

    @Override
    public void rejected(ProposalRejection reason, long nowNs) {}
  }
}
