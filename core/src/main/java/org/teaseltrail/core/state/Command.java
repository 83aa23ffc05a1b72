package org.teaseltrail.core.state;

import java.util.List;
import java.util.Optional;
import org.teaseltrail.core.claim.ClaimKey;
import org.teaseltrail.core.claim.ClaimLimits;
import org.teaseltrail.core.configuration.ConfigurationChange;
import org.teaseltrail.core.id.ChangeId;
import org.teaseltrail.core.id.RequestId;
import org.teaseltrail.core.id.Revision;
import org.teaseltrail.core.id.ServiceId;
import org.teaseltrail.core.id.UpstreamId;
import org.teaseltrail.core.id.VmId;
import org.teaseltrail.core.message.EndKind;
import org.teaseltrail.core.plan.InstalledPlan;
import org.teaseltrail.core.quarantine.Fingerprint;
import org.teaseltrail.core.quarantine.HeldRequest;
import org.teaseltrail.core.registry.Registration;
import org.teaseltrail.core.rollout.ExposureCounters;
import org.teaseltrail.core.rollout.RolloutOrder;
import org.teaseltrail.core.rollout.RolloutPhase;
import org.teaseltrail.core.rollout.RolloutReason;

/**
 * Command in the replicated log. It contains everything on which its result depends, including the
 * time. Log time counts the milliseconds during which the group had a leader; each new leader
 * continues from the last log time in the log.
 */
public sealed interface Command {

  /** Returns the log time at which the leader proposed the command, in milliseconds. */
  long logTimeMs();

  /**
   * Changes the configuration atomically.
   *
   * @param change id of the change, by which a retry is recognised
   * @param expected the revision on which the change is based, if it must be the current one
   * @param items the changes
   * @param logTimeMs log time
   */
  record ChangeConfiguration(
      ChangeId change, Optional<Revision> expected, List<ConfigurationChange> items, long logTimeMs)
      implements Command {
    /** Copies the items. */
    public ChangeConfiguration {
      items = List.copyOf(items);
    }
  }

  /**
   * Opens a claim before a grant, or grants it again to the request that already holds it.
   *
   * @param key the customer's idempotency key
   * @param bodyDigest SHA-256 hash of the body, in lower-case hexadecimal
   * @param nonIdempotent whether the request must not be executed twice
   * @param holder the request
   * @param vm its entry VM
   * @param upstream the upstream of the grant
   * @param logTimeMs log time
   */
  record OpenClaim(
      ClaimKey key,
      String bodyDigest,
      boolean nonIdempotent,
      RequestId holder,
      VmId vm,
      UpstreamId upstream,
      long logTimeMs)
      implements Command {}

  /**
   * Records the end of the request that holds a claim.
   *
   * @param holder the request
   * @param kind how it ended
   * @param logTimeMs log time
   */
  record CompleteClaim(RequestId holder, EndKind kind, long logTimeMs) implements Command {}

  /**
   * Releases the claim of a request that was not executed.
   *
   * @param holder the request
   * @param attempt the attempt whose grant was not dispatched
   * @param logTimeMs log time
   */
  record ReleaseClaim(RequestId holder, int attempt, long logTimeMs) implements Command {}

  /**
   * Transfers the response stream of a running request to another VM.
   *
   * @param holder the request
   * @param vm the VM that reads the response from now on
   * @param logTimeMs log time
   */
  record AdoptClaim(RequestId holder, VmId vm, long logTimeMs) implements Command {}

  /**
   * Removes finished claims whose retention has ended, and marks running claims for which no end
   * has been reported in time as possibly executed.
   *
   * @param limits the leader's limits
   * @param logTimeMs log time
   */
  record ExpireClaims(ClaimLimits limits, long logTimeMs) implements Command {}

  /** Command that changes the state controlled by the external platform. */
  sealed interface ServingCommand extends Command {}

  /**
   * Installs a plan if its version is higher than the current one.
   *
   * @param installed the plan
   * @param logTimeMs log time
   */
  record InstallPlan(InstalledPlan installed, long logTimeMs) implements ServingCommand {}

  /**
   * Records a heartbeat that changes the registration of an upstream.
   *
   * @param heard the registration reported by the upstream
   * @param logTimeMs log time
   */
  record RegisterUpstream(Registration heard, long logTimeMs) implements ServingCommand {}

  /**
   * Deregisters an upstream that leaves.
   *
   * @param leaving the registration of the upstream, as far as it is known
   * @param logTimeMs log time
   */
  record UpstreamLeaves(Registration leaving, long logTimeMs) implements ServingCommand {}

  /**
   * Removes an upstream that has sent no heartbeat for too long.
   *
   * @param upstream the upstream
   * @param logTimeMs log time
   */
  record DropUpstream(UpstreamId upstream, long logTimeMs) implements ServingCommand {}

  /**
   * Quarantines a request during whose processing too many upstreams were lost.
   *
   * @param held the request
   * @param logTimeMs log time
   */
  record HoldRequest(HeldRequest held, long logTimeMs) implements ServingCommand {}

  /**
   * Counts that a quarantined request may be sent to one upstream, to find out whether that
   * upstream is lost too.
   *
   * @param request the request
   * @param logTimeMs log time
   */
  record TryRequest(Fingerprint request, long logTimeMs) implements ServingCommand {}

  /**
   * Records an operator's order of a rollout.
   *
   * @param order the order
   * @param logTimeMs log time
   */
  record OrderRollout(RolloutOrder order, long logTimeMs) implements ServingCommand {}

  /**
   * Moves a rollout to a later phase.
   *
   * @param service its service
   * @param orderedMs log time of its order, which identifies it
   * @param phase the phase
   * @param reason why
   * @param logTimeMs log time
   */
  record TurnRollout(
      ServiceId service, long orderedMs, RolloutPhase phase, RolloutReason reason, long logTimeMs)
      implements ServingCommand {}

  /**
   * Records how many requests the target version of a rollout may have received.
   *
   * @param service its service
   * @param orderedMs log time of its order, which identifies it
   * @param account the counters
   * @param logTimeMs log time
   */
  record AccountExposure(
      ServiceId service, long orderedMs, ExposureCounters account, long logTimeMs)
      implements ServingCommand {}

  /**
   * Releases a request from quarantine.
   *
   * @param request the request
   * @param logTimeMs log time
   */
  record ReleaseRequest(Fingerprint request, long logTimeMs) implements ServingCommand {}
}
