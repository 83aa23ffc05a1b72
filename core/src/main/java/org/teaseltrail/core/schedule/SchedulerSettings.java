package org.teaseltrail.core.schedule;

import java.util.EnumSet;
import java.util.Set;

/**
 * Tunes a scheduler.
 *
 * @param parts the parts of the policy that are on
 * @param declineBackoffMs how long an upstream gets no grant after one could not be used there
 * @param endedMemoryMs how long an ended request is remembered, so that late messages are harmless
 * @param lapsedKeepMs how long work in flight is kept in the account after its VM lapsed
 * @param silentKeepMs how long work in flight is kept of which nothing is heard
 */
public record SchedulerSettings(
    Set<PolicyPart> parts,
    long declineBackoffMs,
    long endedMemoryMs,
    long lapsedKeepMs,
    long silentKeepMs) {

  /** Copies the set, so that no one can change it. */
  public SchedulerSettings {
    parts = Set.copyOf(parts);
  }

  /** Returns the settings in use unless an operator says otherwise: every part on. */
  public static SchedulerSettings defaults() {
    return new SchedulerSettings(EnumSet.allOf(PolicyPart.class), 500, 60_000, 30_000, 600_000);
  }

  /** Returns the same settings with one part of the policy off. */
  public SchedulerSettings without(PolicyPart part) {
    EnumSet<PolicyPart> rest = EnumSet.allOf(PolicyPart.class);
    rest.retainAll(parts);
    rest.remove(part);
    return withParts(rest);
  }

  /** Returns the same settings with just these parts of the policy on. */
  public SchedulerSettings withParts(Set<PolicyPart> newParts) {
    return new SchedulerSettings(
        newParts, declineBackoffMs, endedMemoryMs, lapsedKeepMs, silentKeepMs);
  }

  /** Returns whether a part of the policy is on. */
  public boolean has(PolicyPart part) {
    return parts.contains(part);
  }
}
