package org.teaseltrail.core.rollout;

import java.util.Optional;
import org.teaseltrail.core.id.RouteId;

/**
 * Result of the canary analysis that the target version is faulty, with the evidence.
 *
 * @param reason the symptom that was detected
 * @param route the route on which it was detected; empty if on all routes together
 * @param ordered counts of the target version's latest answers
 * @param before counts of the previous versions' answers in the same seconds
 */
public record Verdict(
    RolloutReason reason, Optional<RouteId> route, AnswerCounts ordered, AnswerCounts before) {}
