package org.teaseltrail.core.entry;

import java.util.Optional;
import org.teaseltrail.core.id.CustomerId;
import org.teaseltrail.core.id.RequestId;
import org.teaseltrail.core.id.Tier;
import org.teaseltrail.core.id.UpstreamId;

/**
 * Is one decision of an entry VM with its reason, for one log line. It holds no prompt, body or
 * secret.
 *
 * @param kind what was decided
 * @param request the request it is about
 * @param customer whose request
 * @param tier its tier
 * @param upstream the upstream it is about
 * @param reason a short reason in the form key=value
 */
public record EntryDecision(
    EntryDecisionKind kind,
    Optional<RequestId> request,
    Optional<CustomerId> customer,
    Optional<Tier> tier,
    Optional<UpstreamId> upstream,
    String reason) {}
