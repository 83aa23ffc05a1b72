package org.teaseltrail.load.workload;

import org.teaseltrail.core.id.CustomerId;
import org.teaseltrail.core.id.Tier;

/**
 * Request of a workload plan.
 *
 * @param index its position in the plan
 * @param atNs when the caller sends it, relative to the start of the run
 * @param kind its kind
 * @param customer the customer that sends it
 * @param tier the customer's tier
 * @param prompt its prompt
 * @param outputTokens length of its response
 */
public record PlannedRequest(
    int index,
    long atNs,
    KindSpec kind,
    CustomerId customer,
    Tier tier,
    Prompt prompt,
    int outputTokens) {}
