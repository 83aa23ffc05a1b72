package org.teaseltrail.core.quarantine;

import java.util.Optional;
import org.teaseltrail.core.id.CustomerId;
import org.teaseltrail.core.registry.UpstreamIncarnation;

/**
 * Loss of an upstream during a request: the connection closed before the answer was complete.
 *
 * @param request fingerprint of the request's content, or of a part of its prompt
 * @param customer the customer that sent it, if known
 * @param upstream the incarnation of the upstream that was processing it
 * @param agoMs time since the connection closed, in milliseconds
 * @param part what is known of the part, if the fingerprint is that of a part
 */
public record Loss(
    Fingerprint request,
    Optional<CustomerId> customer,
    UpstreamIncarnation upstream,
    long agoMs,
    Optional<PartEvidence> part) {

  /**
   * Creates the loss of an upstream under a request's content.
   *
   * @param request fingerprint of the content
   * @param customer the customer that sent it, if known
   * @param upstream the incarnation of the upstream that was processing it
   * @param agoMs time since the connection closed, in milliseconds
   */
  public Loss(
      Fingerprint request,
      Optional<CustomerId> customer,
      UpstreamIncarnation upstream,
      long agoMs) {
    this(request, customer, upstream, agoMs, Optional.empty());
  }
}
