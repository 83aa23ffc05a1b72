package org.teaseltrail.core.decision;

import java.util.Optional;
import org.teaseltrail.core.id.CustomerId;
import org.teaseltrail.core.id.RequestId;
import org.teaseltrail.core.id.Tier;
import org.teaseltrail.core.id.UpstreamId;

/**
 * Decision with its reason, written as one log line. It contains no prompts and no secrets.
 *
 * @param kind the kind of decision
 * @param request the request that it concerns
 * @param customer the customer that sent the request
 * @param tier the tier of the customer
 * @param upstream the upstream that it concerns
 * @param reason the reason as short {@code key=value} pairs
 */
public record Decision(
    DecisionKind kind,
    Optional<RequestId> request,
    Optional<CustomerId> customer,
    Optional<Tier> tier,
    Optional<UpstreamId> upstream,
    String reason) {}
