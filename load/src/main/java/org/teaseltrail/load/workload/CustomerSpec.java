package org.teaseltrail.load.workload;

import org.teaseltrail.core.id.CustomerId;
import org.teaseltrail.core.id.Tier;

/**
 * Is a customer of a deployment.
 *
 * @param id who it is
 * @param tier the tier it pays for
 * @param weight its share of engine time against the others of its tier
 * @param systemPromptTokens length of the prompt that opens each of its generations
 */
public record CustomerSpec(CustomerId id, Tier tier, int weight, int systemPromptTokens) {}
