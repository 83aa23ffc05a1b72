package org.teaseltrail.core.plan;

/**
 * Accepted plan with the document it was parsed from, so that readers get the document unchanged.
 *
 * @param plan the plan
 * @param document the document as it was sent
 */
public record InstalledPlan(ServingPlan plan, String document) {}
