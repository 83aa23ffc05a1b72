package org.teaseltrail.core.control;

import org.teaseltrail.core.decision.Decision;

/**
 * A recent scheduling decision, as shown to operators.
 *
 * @param decision the decision
 * @param ageMs time since it was made
 */
public record RecentDecision(Decision decision, long ageMs) {}
