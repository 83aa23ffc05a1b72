package org.teaseltrail.core.rollout;

import java.util.Optional;
import org.teaseltrail.core.id.RouteId;

/**
 * Is the finding that an ordered version is bad, and what decided it.
 *
 * @param reason what it shows
 * @param route on which route; empty if on all together
 * @param ordered what its answers of the newest seconds showed
 * @param before what those of the versions before showed in the same seconds
 */
public record Verdict(
    RolloutReason reason, Optional<RouteId> route, AnswerCounts ordered, AnswerCounts before) {}
