package org.teaseltrail.core.entry;

import java.util.Optional;
import org.teaseltrail.core.id.CustomerId;
import org.teaseltrail.core.id.RequestId;
import org.teaseltrail.core.id.UpstreamId;
import org.teaseltrail.core.request.Outcome;
import org.teaseltrail.core.request.Request;
import org.teaseltrail.core.request.RequestState;
import org.teaseltrail.core.request.UpstreamTarget;

/**
 * Is what a caller may ask about its request. Small, so that many ended ones can be kept.
 *
 * @param request the request
 * @param customer whose request
 * @param state how far it has come
 * @param upstream the upstream it was given, if any
 * @param outcome how it ended, once it has
 * @param dispatched whether it was ever dispatched
 */
public record RequestStatus(
    RequestId request,
    CustomerId customer,
    RequestState state,
    Optional<UpstreamId> upstream,
    Optional<Outcome> outcome,
    boolean dispatched) {

  static RequestStatus of(Request request) {
    return new RequestStatus(
        request.id(),
        request.ticket().customer(),
        request.state(),
        request.target().map(UpstreamTarget::upstream),
        request.outcome(),
        request.wasDispatched());
  }
}
