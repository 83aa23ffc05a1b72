package org.teaseltrail.core.state;

import java.util.List;
import java.util.Optional;
import org.teaseltrail.core.plan.InstalledPlan;
import org.teaseltrail.core.quarantine.HeldRequest;
import org.teaseltrail.core.registry.Registration;
import org.teaseltrail.core.registry.RetiredVersion;
import org.teaseltrail.core.rollout.Rollout;

/**
 * Part of the replicated state that the external platform controls.
 *
 * @param plan the accepted plan, if there is one
 * @param registryRevision number of changes to the registrations so far
 * @param registrations the registrations, oldest first
 * @param held quarantined requests, which are sent to no upstream, oldest first; empty in snapshots
 *     of older versions
 * @param rolloutRevision number of changes to the rollouts so far
 * @param rollouts the latest rollout of each service; empty in snapshots of older versions
 * @param retiredVersions versions that have left their services; empty in snapshots of older
 *     versions
 */
public record ServingState(
    Optional<InstalledPlan> plan,
    long registryRevision,
    List<Registration> registrations,
    Optional<List<HeldRequest>> held,
    long rolloutRevision,
    Optional<List<Rollout>> rollouts,
    Optional<List<RetiredVersion>> retiredVersions) {

  /** Copies the lists. */
  public ServingState {
    registrations = List.copyOf(registrations);
    held = held.map(List::copyOf);
    rollouts = rollouts.map(List::copyOf);
    retiredVersions = retiredVersions.map(List::copyOf);
  }

  /** Returns the state before the first plan. */
  public static ServingState empty() {
    return new ServingState(
        Optional.empty(), 0, List.of(), Optional.empty(), 0, Optional.empty(), Optional.empty());
  }
}
