package org.teaseltrail.core.schedule;

import java.util.EnumSet;
import java.util.Set;

/**
 * Tunes a scheduler.
 *
 * @param parts the parts of the policy that are on
 * @param prefillBoundMs prefill that may be in process on one engine at once, in milliseconds of
 *     its time; what a quick answer may be stalled by
 * @param interTokenTargetMs time between tokens from which an engine counts as crowded, in
 *     milliseconds; the operators' target at the two-year size
 * @param prefillCostFactor what a millisecond of prefill counts for in the choice of an upstream:
 *     it stalls the whole batch, so more than one of decoding
 * @param maxHoldMs how long a request is held at most for the engine that holds its prefix
 * @param probeIntervalMs time between two probes of an engine that gets only probes
 * @param noUpstreamTimeoutMs how long no upstream must have served before waiting requests are
 *     refused
 * @param reviewIntervalMs time between two judgements of the upstreams' speeds
 * @param endedRetentionMs how long an ended request is remembered, so that late messages are
 *     harmless
 * @param expiredSessionRetentionMs how long work in flight is kept in the account after its VM
 *     lapsed
 * @param silentRequestTimeoutMs how long work in flight is kept of which nothing is heard
 */
public record SchedulerSettings(
    Set<PolicyPart> parts,
    double prefillBoundMs,
    double interTokenTargetMs,
    double prefillCostFactor,
    long maxHoldMs,
    long probeIntervalMs,
    long noUpstreamTimeoutMs,
    long reviewIntervalMs,
    long endedRetentionMs,
    long expiredSessionRetentionMs,
    long silentRequestTimeoutMs) {

  /** Copies the set, so that no one can change it. */
  public SchedulerSettings {
    parts = Set.copyOf(parts);
  }

  /** Returns the settings in use unless an operator says otherwise: every part on. */
  public static SchedulerSettings defaults() {
    return new SchedulerSettings(
        EnumSet.allOf(PolicyPart.class),
        250,
        61,
        8,
        10_000,
        2_000,
        5_000,
        500,
        60_000,
        5_000,
        600_000);
  }

  /** Returns the same settings with one part of the policy off. */
  public SchedulerSettings without(PolicyPart part) {
    EnumSet<PolicyPart> rest = EnumSet.noneOf(PolicyPart.class);
    rest.addAll(parts);
    rest.remove(part);
    return withParts(rest);
  }

  /** Returns the same settings with just these parts of the policy on. */
  public SchedulerSettings withParts(Set<PolicyPart> newParts) {
    return new SchedulerSettings(
        newParts,
        prefillBoundMs,
        interTokenTargetMs,
        prefillCostFactor,
        maxHoldMs,
        probeIntervalMs,
        noUpstreamTimeoutMs,
        reviewIntervalMs,
        endedRetentionMs,
        expiredSessionRetentionMs,
        silentRequestTimeoutMs);
  }

  /** Returns whether a part of the policy is on. */
  public boolean isEnabled(PolicyPart part) {
    return parts.contains(part);
  }
}
