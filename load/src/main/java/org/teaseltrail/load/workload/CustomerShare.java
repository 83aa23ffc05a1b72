package org.teaseltrail.load.workload;

import org.teaseltrail.core.id.CustomerId;

/**
 * Is a customer's part of the requests of one kind.
 *
 * @param customer the customer
 * @param share its part, relative to the other customers' parts
 */
public record CustomerShare(CustomerId customer, double share) {}
