package org.teaseltrail.core.message;

import java.util.List;
import java.util.Optional;
import org.teaseltrail.core.id.CustomerId;
import org.teaseltrail.core.id.PoolId;
import org.teaseltrail.core.id.RequestId;
import org.teaseltrail.core.id.RouteId;
import org.teaseltrail.core.id.Tier;

/**
 * Stands for a waiting request at its pool's scheduler. The body stays on the entry VM.
 *
 * @param request the request
 * @param customer who pays
 * @param tier the tier paid for
 * @param route what the caller asks for, found in the configuration
 * @param pool where it is to run
 * @param kind what it asks for
 * @param promptTokens length of the prompt; for a service call, one
 * @param expectedOutputTokens estimate of the answer's length; for a service call, one
 * @param prefixBlocks hash chain of the prompt's blocks, first block first
 * @param waitedMs how long the request has waited when the ticket is sent
 * @param deadlineMs time left until the caller's deadline when the ticket is sent; zero if it has
 *     none
 * @param claim present if the request carries a key
 */
public record Ticket(
    RequestId request,
    CustomerId customer,
    Tier tier,
    RouteId route,
    PoolId pool,
    RequestKind kind,
    int promptTokens,
    int expectedOutputTokens,
    List<Long> prefixBlocks,
    long waitedMs,
    long deadlineMs,
    Optional<Claim> claim) {}
