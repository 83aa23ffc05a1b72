package org.teaseltrail.core.entry;

import java.util.Optional;
import org.teaseltrail.core.id.CustomerId;
import org.teaseltrail.core.id.RequestId;
import org.teaseltrail.core.id.Tier;
import org.teaseltrail.core.id.UpstreamId;

/**
 * Decision of an entry VM with its reason, written as one log line. It contains no prompt, body or
 * secret.
 *
 * @param kind kind of the decision
 * @param request the request, if the decision is about one
 * @param customer customer of the request
 * @param tier tier of the customer
 * @param upstream the upstream, if the decision is about one
 * @param reason a short reason in the form key=value
 */
public record EntryDecision(
    EntryDecisionKind kind,
    Optional<RequestId> request,
    Optional<CustomerId> customer,
    Optional<Tier> tier,
    Optional<UpstreamId> upstream,
    String reason) {}
