package org.teaseltrail.core.control;

import org.teaseltrail.core.decision.Decision;

/**
 * Is a decision that an operator looks back on.
 *
 * @param decision the decision
 * @param ageMs how long ago it was taken
 */
public record RecentDecision(Decision decision, long ageMs) {}
