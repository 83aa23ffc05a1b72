package org.teaseltrail.core.message;

import java.util.List;
import java.util.Optional;
import org.teaseltrail.core.id.CustomerId;
import org.teaseltrail.core.id.PoolId;
import org.teaseltrail.core.id.RequestId;
import org.teaseltrail.core.id.RouteId;
import org.teaseltrail.core.id.Tier;

/**
 * Metadata of a waiting request that is queued at the scheduler of its pool. The body of the
 * request stays on the entry VM.
 *
 * @param request the request
 * @param customer the customer that sent it
 * @param tier the tier of the customer
 * @param route the route that matches the request
 * @param pool the pool that executes it
 * @param kind the kind of request
 * @param promptTokens length of the prompt in tokens; one for a service call
 * @param expectedOutputTokens estimated length of the answer in tokens; one for a service call
 * @param prefixBlocks hash chain of the prompt's blocks, first block first
 * @param waitedMs time that the request had waited when the ticket was sent, in milliseconds
 * @param deadlineMs time that was left until the caller's deadline when the ticket was sent, in
 *     milliseconds; zero if there is no deadline
 * @param claim idempotency claim, present if the request has an idempotency key
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
