package org.teaseltrail.load.workload;

import org.teaseltrail.core.id.CustomerId;

/**
 * Customer's share of the requests of one kind.
 *
 * @param customer the customer
 * @param share its share, relative to the shares of the other customers
 */
public record CustomerShare(CustomerId customer, double share) {}
