package org.teaseltrail.core.configuration;

import org.teaseltrail.core.id.Tier;

/**
 * Definition of a tier that customers can buy.
 *
 * @param tier the rank of the tier
 * @param name the name that is used by operators and on bills
 */
public record TierDefinition(Tier tier, String name) {}
