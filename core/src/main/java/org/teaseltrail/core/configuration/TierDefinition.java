package org.teaseltrail.core.configuration;

import org.teaseltrail.core.id.Tier;

/**
 * Defines a tier that customers can buy.
 *
 * @param tier its rank
 * @param name the name operators and bills use
 */
public record TierDefinition(Tier tier, String name) {}
