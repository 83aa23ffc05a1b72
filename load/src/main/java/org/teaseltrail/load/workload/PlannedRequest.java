package org.teaseltrail.load.workload;

import org.teaseltrail.core.id.CustomerId;
import org.teaseltrail.core.id.Tier;

/**
 * Is one request of a plan.
 *
 * @param index its place in the plan
 * @param atNs when the caller sends it, from the start of the run
 * @param kind its kind
 * @param customer who sends it
 * @param tier the customer's tier
 * @param prompt its prompt
 * @param outputTokens how long its answer is
 */
public record PlannedRequest(
    int index,
    long atNs,
    KindSpec kind,
    CustomerId customer,
    Tier tier,
    Prompt prompt,
    int outputTokens) {}
