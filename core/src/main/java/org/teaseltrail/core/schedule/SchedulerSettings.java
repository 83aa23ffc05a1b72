package org.teaseltrail.core.schedule;

import java.util.EnumSet;
import java.util.Set;
import org.teaseltrail.core.collection.OrderedCopies;

/**
 * The settings of a scheduler.
 *
 * @param parts the enabled parts of the policy
 * @param prefillBoundMs maximum prefill in progress on one engine, in milliseconds of engine time;
 *     bounds how long prefill can stall a short answer
 * @param interTokenTargetMs target time between two tokens of an answer, in milliseconds; an engine
 *     above it counts as overloaded. It is the operators' latency target for the platform size
 *     planned in two years
 * @param prefillCostFactor factor by which prefill time counts more than decoding time when an
 *     upstream is selected, since prefill stalls the whole batch
 * @param maxHoldMs maximum time for which a request waits for an engine that has its prefix cached
 * @param probeIntervalMs time between two probe requests to an engine that receives only probes
 * @param noUpstreamTimeoutMs time without a serving upstream after which a route's waiting requests
 *     are refused
 * @param reviewIntervalMs time between two comparisons of the upstreams' speeds
 * @param endedRetentionMs time for which ended requests are remembered, so that late messages about
 *     them have no effect
 * @param expiredSessionRetentionMs time for which an in-flight request stays accounted for after
 *     its VM's session has expired
 * @param silentRequestTimeoutMs time for which an in-flight request stays accounted for while no
 *     message about it arrives
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

  /** Creates the settings with an immutable copy of the set. */
  public SchedulerSettings {
    parts = OrderedCopies.setOf(parts);
  }

  /** Returns the default settings, with every part of the policy enabled. */
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

  /** Returns the same settings with one part of the policy disabled. */
  public SchedulerSettings without(PolicyPart part) {
    EnumSet<PolicyPart> rest = EnumSet.noneOf(PolicyPart.class);
    rest.addAll(parts);
    rest.remove(part);
    return withParts(rest);
  }

  /** Returns the same settings with only these parts of the policy enabled. */
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

  /** Returns whether a part of the policy is enabled. */
  public boolean isEnabled(PolicyPart part) {
    return parts.contains(part);
  }
}
