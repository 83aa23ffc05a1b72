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
 * Status of a request as returned to its caller. It is small, so that the VM can keep it for many
 * ended requests.
 *
 * @param request the request
 * @param customer customer of the request
 * @param state current state
 * @param upstream the assigned upstream, if any
 * @param outcome the outcome, if the request has ended
 * @param dispatched whether the request was ever dispatched
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
