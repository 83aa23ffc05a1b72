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
import org.teaseltrail.core.id.UpstreamVersion;
import org.teaseltrail.core.invariant.Invariant;
import org.teaseltrail.core.invariant.InvariantName;
import org.teaseltrail.core.message.ClaimState;
import org.teaseltrail.core.plan.InstalledPlan;
import org.teaseltrail.core.quarantine.HeldRequestStore;
import org.teaseltrail.core.registry.RegistrationPhase;
import org.teaseltrail.core.registry.UpstreamRegistry;
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
 * Is the replicated state. Members that apply the same commands in the same order hold equal states
 * and give equal results.
 */
public final class ClusterState {

  /** Stands for the version of a plan that isn't there; versions count from 0. */
  public static final long NO_PLAN = -1;

  private final ChangeHistory changes;
  private final ClaimStore claims;
  private Configuration configuration;
  private final UpstreamRegistry registry;
  private final HeldRequestStore held;
  private final RolloutStore rollouts;
  private Optional<InstalledPlan> plan;
  private long logTimeMs;

  /**
   * Builds the state that a snapshot holds.
   *
   * @param snapshot the snapshot
   */
  public ClusterState(ClusterSnapshot snapshot) {
    logTimeMs = snapshot.logTimeMs();
    configuration = snapshot.configuration();
    changes = new ChangeHistory(snapshot.changes());
    claims = ClaimStore.restore(snapshot.claims(), snapshot.claimLimits());
    ServingState serving = snapshot.serving().orElse(ServingState.empty());
    plan = serving.plan();
    registry = new UpstreamRegistry(serving.registryRevision(), serving.registrations());
    held = new HeldRequestStore(serving.held().orElse(List.of()));
    rollouts = new RolloutStore(serving.rolloutRevision(), serving.rollouts().orElse(List.of()));
  }

  /**
   * Applies a committed command.
   *
   * @param command the command
   * @return what it came to, the same on every member
   */
  public CommandResult apply(Command command) {
    logTimeMs = Math.max(logTimeMs, command.logTimeMs());
    if (command instanceof ChangeConfiguration change) {
      return new CommandResult.OfChange(change(change));
    }
    if (command instanceof OpenClaim open) {
      return new CommandResult.OfOpen(claims.open(wish(open)));
    }
    if (command instanceof CompleteClaim complete) {
      return new CommandResult.OfClaim(
          claims.finish(complete.holder(), complete.kind(), logTimeMs));
    }
    if (command instanceof ReleaseClaim release) {
      return new CommandResult.OfRelease(claims.release(release.holder(), release.attempt()));
    }
    if (command instanceof AdoptClaim adopt) {
      return new CommandResult.OfClaim(claims.adopt(adopt.holder(), adopt.vm(), logTimeMs));
    }
    if (command instanceof ExpireClaims expire) {
      return new CommandResult.OfExpiry(claims.expire(expire.limits(), logTimeMs));
    }
    if (command instanceof OrderRollout ordered) {
      return new CommandResult.OfRollout(order(ordered.order()));
    }
    if (command instanceof TurnRollout turn) {
      return new CommandResult.OfRollout(turn(turn));
    }
    if (command instanceof AccountExposure exposure) {
      rollouts.account(exposure.service(), exposure.orderedMs(), exposure.account());
      return new CommandResult.OfExposure();
    }
    return applyServing((Command.ServingCommand) command);
  }

  private CommandResult applyServing(Command.ServingCommand command) {
    if (command instanceof InstallPlan install) {
      install(install.installed());
    } else if (command instanceof RegisterUpstream register) {
      registry.register(register.heard());
    } else if (command instanceof UpstreamLeaves leaves) {
      registry.deregister(leaves.leaving());
    } else if (command instanceof DropUpstream drop) {
      registry.removeSilent(drop.upstream());
    } else if (command instanceof HoldRequest hold) {
      held.hold(hold.held());
    } else if (command instanceof TryRequest trial) {
      held.recordTrial(trial.request());
    } else if (command instanceof ReleaseRequest release) {
      held.release(release.request());
    }
    return new CommandResult.OfServing(planVersion(), registry.revision());
  }

  private RolloutOrderResult order(RolloutOrder order) {
    boolean known = plan.filter(held -> held.plan().hasService(order.service())).isPresent();
    return known
        ? rollouts.order(order, versionsInForce(order.service()), logTimeMs)
        : RolloutOrderResult.UNKNOWN_SERVICE;
  }

  private List<UpstreamVersion> versionsInForce(ServiceId service) {
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
   * Guards against a change that was overtaken or comes again: an older version, or other content
   * under the version held, would take back what was acknowledged since.
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
        Optional.of(rollouts.all()));
  }

  /** Returns the accepted plan of an outside platform, if there is one. */
  public Optional<InstalledPlan> plan() {
    return plan;
  }

  /** Returns the registrations, to look up only. */
  public UpstreamRegistry registry() {
    return registry;
  }

  /** Returns the requests that no upstream gets, to look up only. */
  public HeldRequestStore held() {
    return held;
  }

  /** Returns the rollouts, to look up only. */
  public RolloutStore rollouts() {
    return rollouts;
  }

  /** Returns the whole state as one value. */
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

  /** Returns the claims, to look up only. */
  public ClaimStore claims() {
    return claims;
  }

  /** Returns the log time of the newest command, in milliseconds. */
  public long logTimeMs() {
    return logTimeMs;
  }

  /**
   * Guards against a change that is sent again because its answer was lost: applied twice, it would
   * undo what another operator did in between. The kept result answers instead.
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
   * Guards against two operators who change what both have read at the same revision: the later one
   * would overwrite the earlier unseen. It learns the present revision instead.
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

  private ClaimRecord wish(OpenClaim open) {
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
