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
 * Is a command of the log. It carries all that its result depends on, the time too: log time counts
 * the milliseconds during which the group had a leader, and each leader goes on from where the log
 * stands.
 */
public sealed interface Command {

  /** Returns the log time at which the leader proposed the command, in milliseconds. */
  long logTimeMs();

  /**
   * Changes the configuration, whole or not at all.
   *
   * @param change names the change, so that a resend is known
   * @param expected the revision the operator has seen, if it matters
   * @param items what to change
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
   * Opens a claim before a grant, or grants its holder again.
   *
   * @param key the customer's key
   * @param bodyDigest SHA-256 of the body, in lower-case hexadecimal
   * @param nonIdempotent whether the request must not run twice
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
   * Ends a claim.
   *
   * @param holder the request
   * @param kind how it ended
   * @param logTimeMs log time
   */
  record CompleteClaim(RequestId holder, EndKind kind, long logTimeMs) implements Command {}

  /**
   * Releases the claim of a request that did not run.
   *
   * @param holder the request
   * @param attempt the grant that was not dispatched
   * @param logTimeMs log time
   */
  record ReleaseClaim(RequestId holder, int attempt, long logTimeMs) implements Command {}

  /**
   * Lets another VM take a running answer over.
   *
   * @param holder the request
   * @param vm the VM that reads it from now on
   * @param logTimeMs log time
   */
  record AdoptClaim(RequestId holder, VmId vm, long logTimeMs) implements Command {}

  /**
   * Drops old claims.
   *
   * @param limits the leader's limits
   * @param logTimeMs log time
   */
  record ExpireClaims(ClaimLimits limits, long logTimeMs) implements Command {}

  /** Changes what an outside platform decides. */
  sealed interface ServingCommand extends Command {}

  /**
   * Installs a plan if its version is higher than the one held.
   *
   * @param installed the plan
   * @param logTimeMs log time
   */
  record InstallPlan(InstalledPlan installed, long logTimeMs) implements ServingCommand {}

  /**
   * Takes in an upstream's heartbeat that changes something.
   *
   * @param heard what it told
   * @param logTimeMs log time
   */
  record RegisterUpstream(Registration heard, long logTimeMs) implements ServingCommand {}

  /**
   * Takes in an upstream's leave.
   *
   * @param leaving what is known of it
   * @param logTimeMs log time
   */
  record UpstreamLeaves(Registration leaving, long logTimeMs) implements ServingCommand {}

  /**
   * Drops an upstream of which nothing has been heard for long.
   *
   * @param upstream the upstream
   * @param logTimeMs log time
   */
  record DropUpstream(UpstreamId upstream, long logTimeMs) implements ServingCommand {}

  /**
   * Holds a request under which too many upstreams ended.
   *
   * @param held the request
   * @param logTimeMs log time
   */
  record HoldRequest(HeldRequest held, long logTimeMs) implements ServingCommand {}

  /**
   * Counts that a held request may go to one upstream, to see whether that is lost too.
   *
   * @param request the request
   * @param logTimeMs log time
   */
  record TryRequest(Fingerprint request, long logTimeMs) implements ServingCommand {}

  /**
   * Takes an operator's order of a rollout.
   *
   * @param order the order
   * @param logTimeMs log time
   */
  record OrderRollout(RolloutOrder order, long logTimeMs) implements ServingCommand {}

  /**
   * Turns a rollout to a later phase.
   *
   * @param service its service
   * @param orderedMs log time of its order, which names it
   * @param phase the phase
   * @param reason why
   * @param logTimeMs log time
   */
  record TurnRollout(
      ServiceId service, long orderedMs, RolloutPhase phase, RolloutReason reason, long logTimeMs)
      implements ServingCommand {}

  /**
   * Writes down what the ordered version of a rollout may have got.
   *
   * @param service its service
   * @param orderedMs log time of its order, which names it
   * @param account the account
   * @param logTimeMs log time
   */
  record AccountExposure(
      ServiceId service, long orderedMs, ExposureCounters account, long logTimeMs)
      implements ServingCommand {}

  /**
   * Lets a held request go to upstreams again.
   *
   * @param request the request
   * @param logTimeMs log time
   */
  record ReleaseRequest(Fingerprint request, long logTimeMs) implements ServingCommand {}
}
