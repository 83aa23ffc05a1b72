package org.teaseltrail.core.state;

import java.util.List;
import java.util.Optional;
import org.teaseltrail.core.claim.ClaimRecord;
import org.teaseltrail.core.claim.ClaimStore;
import org.teaseltrail.core.configuration.Configuration;
import org.teaseltrail.core.configuration.ConfigurationEditor;
import org.teaseltrail.core.configuration.ConfigurationResult;
import org.teaseltrail.core.id.Revision;
import org.teaseltrail.core.id.ServiceId;
import org.teaseltrail.core.id.UpstreamId;
import org.teaseltrail.core.id.UpstreamVersion;
import org.teaseltrail.core.invariant.Invariant;
import org.teaseltrail.core.invariant.InvariantName;
import org.teaseltrail.core.message.ClaimState;
import org.teaseltrail.core.plan.InstalledPlan;
import org.teaseltrail.core.quarantine.HeldRequestStore;
import org.teaseltrail.core.registry.Registration;
import org.teaseltrail.core.registry.RegistrationPhase;
import org.teaseltrail.core.registry.UpstreamRegistry;
import org.teaseltrail.core.registry.VersionHistory;
import org.teaseltrail.core.rollout.RolloutOrder;
import org.teaseltrail.core.rollout.RolloutOrderResult;
import org.teaseltrail.core.rollout.RolloutStore;
import org.teaseltrail.core.state.Command.AccountExposure;
import org.teaseltrail.core.state.Command.AdoptClaim;
import org.teaseltrail.core.state.Command.ChangeConfiguration;
import org.teaseltrail.core.state.Command.CompleteClaim;
import org.teaseltrail.core.state.Command.DropUpstream;
import org.teaseltrail.core.state.Command.ExpireClaims;
import org.teaseltrail.core.state.Command.HoldRequest;
import org.teaseltrail.core.state.Command.InstallPlan;
import org.teaseltrail.core.state.Command.OpenClaim;
import org.teaseltrail.core.state.Command.OrderRollout;
import org.teaseltrail.core.state.Command.RegisterUpstream;
import org.teaseltrail.core.state.Command.ReleaseClaim;
import org.teaseltrail.core.state.Command.ReleaseRequest;
import org.teaseltrail.core.state.Command.TryRequest;
import org.teaseltrail.core.state.Command.TurnRollout;
import org.teaseltrail.core.state.Command.UpstreamLeaves;

/**
 * Replicated state machine. Members that apply the same commands in the same order have equal
 * states and return equal results.
 */
public final class ClusterState {

  /** Version that is reported when there is no plan; plan versions start at 0. */
  public static final long NO_PLAN = -1;

  private final ChangeResultStore changes;
  private final ClaimStore claims;
  private Configuration configuration;
  private final UpstreamRegistry registry;
  private final VersionHistory versions;
  private final HeldRequestStore held;
  private final RolloutStore rollouts;
  private Optional<InstalledPlan> plan;
  private long logTimeMs;

  /**
   * Restores the state from a snapshot.
   *
   * @param snapshot the snapshot
   */
  public ClusterState(ClusterSnapshot snapshot) {
    logTimeMs = snapshot.logTimeMs();
    configuration = snapshot.configuration();
    changes = new ChangeResultStore(snapshot.changes());
    claims = ClaimStore.restore(snapshot.claims(), snapshot.claimLimits());
    ServingState serving = snapshot.serving().orElse(ServingState.empty());
    plan = serving.plan();
    registry = new UpstreamRegistry(serving.registryRevision(), serving.registrations());
    versions =
        serving
            .retiredVersions()
            .map(VersionHistory::new)
            .orElseGet(() -> VersionHistory.unknown(serving.registrations(), logTimeMs));
    held = new HeldRequestStore(serving.held().orElse(List.of()));
    rollouts = new RolloutStore(serving.rolloutRevision(), serving.rollouts().orElse(List.of()));
  }

  /**
   * Applies a committed command.
   *
   * @param command the command
   * @return the result, which is the same on every member
   */
  public CommandResult apply(Command command) {
    logTimeMs = Math.max(logTimeMs, command.logTimeMs());
    if (command instanceof ChangeConfiguration change) {
      return new CommandResult.ChangeOutcome(change(change));
    }
    if (command instanceof OpenClaim open) {
      return new CommandResult.OpenClaimOutcome(claims.open(newClaim(open)));
    }
    if (command instanceof CompleteClaim complete) {
      return new CommandResult.ClaimOutcome(
          claims.finish(complete.holder(), complete.kind(), logTimeMs));
    }
    if (command instanceof ReleaseClaim release) {
      return new CommandResult.ReleaseOutcome(claims.release(release.holder(), release.attempt()));
    }
    if (command instanceof AdoptClaim adopt) {
      return new CommandResult.ClaimOutcome(claims.adopt(adopt.holder(), adopt.vm(), logTimeMs));
    }
    if (command instanceof ExpireClaims expire) {
      return new CommandResult.ExpiryOutcome(claims.expire(expire.limits(), logTimeMs));
    }
    if (command instanceof OrderRollout ordered) {
      return new CommandResult.RolloutOutcome(order(ordered.order()));
    }
    if (command instanceof TurnRollout turn) {
      return new CommandResult.RolloutOutcome(turn(turn));
    }
    if (command instanceof AccountExposure exposure) {
      rollouts.account(exposure.service(), exposure.orderedMs(), exposure.account());
      return new CommandResult.ExposureOutcome();
    }
    return applyServing((Command.ServingCommand) command);
  }

  private CommandResult applyServing(Command.ServingCommand command) {
    if (command instanceof InstallPlan install) {
      install(install.installed());
    } else if (command instanceof RegisterUpstream register) {
      changeRegistry(register.heard().id(), () -> registry.register(register.heard()));
    } else if (command instanceof UpstreamLeaves leaves) {
      changeRegistry(leaves.leaving().id(), () -> registry.deregister(leaves.leaving()));
    } else if (command instanceof DropUpstream drop) {
      changeRegistry(drop.upstream(), () -> registry.removeSilent(drop.upstream()));
    } else if (command instanceof HoldRequest hold) {
      held.hold(hold.held());
    } else if (command instanceof TryRequest trial) {
      held.recordTrial(trial.request());
    } else if (command instanceof ReleaseRequest release) {
      held.release(release.request());
    }
    return new CommandResult.ServingOutcome(planVersion(), registry.revision());
  }

  private void changeRegistry(UpstreamId id, Runnable change) {
    Optional<Registration> before = registry.find(id);
    change.run();
    versions.onChange(before, registry.find(id), logTimeMs);
  }

  private RolloutOrderResult order(RolloutOrder order) {
    boolean known = plan.filter(held -> held.plan().hasService(order.service())).isPresent();
    return known
        ? rollouts.order(order, readyVersions(order.service()), logTimeMs)
        : RolloutOrderResult.UNKNOWN_SERVICE;
  }

  private List<UpstreamVersion> readyVersions(ServiceId service) {
    return registry.present().stream()
        .filter(upstream -> upstream.service().equals(service))
        .filter(upstream -> upstream.phase() == RegistrationPhase.READY)
        .flatMap(upstream -> upstream.version().stream())
        .distinct()
        .toList();
  }

  private RolloutOrderResult turn(TurnRollout turn) {
    boolean turned = rollouts.turn(turn.service(), turn.orderedMs(), turn.phase(), turn.reason());
    return turned ? RolloutOrderResult.ACCEPTED : RolloutOrderResult.NONE_RUNNING;
  }

  /**
   * Installs a plan only if its version is higher than the current one. A delayed or duplicate
   * command, with an older version or with different content under the current version, would
   * revert what has been acknowledged since.
   */
  private void install(InstalledPlan installed) {
    if (installed.plan().version() > planVersion()) {
      plan = Optional.of(installed);
    }
  }

  private long planVersion() {
    return plan.map(held -> held.plan().version()).orElse(NO_PLAN);
  }

  private ServingState serving() {
    return new ServingState(
        plan,
        registry.revision(),
        List.copyOf(registry.all()),
        Optional.of(held.all()),
        rollouts.revision(),
        Optional.of(rollouts.all()),
        Optional.of(versions.all()));
  }

  /** Returns the plan accepted from the external platform, if there is one. */
  public Optional<InstalledPlan> plan() {
    return plan;
  }

  /** Returns the upstream registrations, for lookup only. */
  public UpstreamRegistry registry() {
    return registry;
  }

  /** Returns which versions the services have had recently, for lookup only. */
  public VersionHistory versions() {
    return versions;
  }

  /** Returns the quarantined requests, which are sent to no upstream, for lookup only. */
  public HeldRequestStore held() {
    return held;
  }

  /** Returns the rollouts, for lookup only. */
  public RolloutStore rollouts() {
    return rollouts;
  }

  /** Returns a snapshot of the complete state. */
  public ClusterSnapshot snapshot() {
    return new ClusterSnapshot(
        logTimeMs,
        configuration,
        changes.toList(),
        claims.limits(),
        claims.toList(),
        Optional.of(serving()));
  }

  /** Returns the configuration. */
  public Configuration configuration() {
    return configuration;
  }

  /** Returns the claims, for lookup only. */
  public ClaimStore claims() {
    return claims;
  }

  /** Returns the log time of the latest command, in milliseconds. */
  public long logTimeMs() {
    return logTimeMs;
  }

  /**
   * Applies a configuration change at most once per change id. A change that is retried because its
   * response was lost would otherwise revert what another operator changed in between; a retry
   * receives the stored result instead.
   */
  private ChangeResult change(ChangeConfiguration command) {
    String digest = ChangeDigest.of(command);
    Optional<ChangeRecord> first = changes.find(command.change());
    if (first.isPresent()) {
      boolean same = first.get().contentDigest().equals(digest);
      return same ? first.get().result() : new ChangeResult.ChangeIdConflict(command.change());
    }
    ChangeResult result = edit(command);
    changes.add(new ChangeRecord(command.change(), digest, result, logTimeMs));
    return result;
  }

  /**
   * Applies a configuration change if its expected revision is the current one. Otherwise, of two
   * operators who edit the same revision concurrently, the later one would silently overwrite the
   * earlier one; it receives the current revision instead.
   */
  private ChangeResult edit(ChangeConfiguration command) {
    Revision present = configuration.revision();
    if (command.expected().isPresent() && !command.expected().get().equals(present)) {
      return new ChangeResult.RevisionConflict(present);
    }
    ConfigurationResult result = ConfigurationEditor.apply(configuration, command.items());
    if (result instanceof ConfigurationResult.Refused refused) {
      return new ChangeResult.Refused(refused.failure());
    }
    Configuration changed = ((ConfigurationResult.Changed) result).configuration();
    Invariant.check(
        changed.revision().compareTo(present) > 0, InvariantName.REVISION_NEVER_GOES_BACK);
    configuration = changed;
    return new ChangeResult.Accepted(changed.revision());
  }

  private ClaimRecord newClaim(OpenClaim open) {
    return new ClaimRecord(
        open.key(),
        open.bodyDigest(),
        open.nonIdempotent(),
        open.holder(),
        open.vm(),
        open.upstream(),
        0,
        ClaimState.RUNNING,
        logTimeMs);
  }
}
