package org.teaseltrail.load.workload;

import org.teaseltrail.core.id.CustomerId;
import org.teaseltrail.core.id.Tier;

/**
 * Customer of a deployment.
 *
 * @param id its id
 * @param tier its tier
 * @param weight its share of engine time relative to other customers of the tier
 * @param systemPromptTokens length of the system prompt at the start of each of its generation
 *     prompts
 */
public record CustomerSpec(CustomerId id, Tier tier, int weight, int systemPromptTokens) {}
