package org.teaseltrail.core.plan;

/**
 * Is an accepted plan together with the text that it was read from, for reading it back unchanged.
 *
 * @param plan the plan
 * @param document the sender's text
 */
public record InstalledPlan(ServingPlan plan, String document) {}
