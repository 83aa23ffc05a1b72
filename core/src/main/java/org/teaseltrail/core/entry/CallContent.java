package org.teaseltrail.core.entry;

import java.nio.charset.StandardCharsets;
import java.util.Optional;
import org.teaseltrail.core.id.CustomerId;
import org.teaseltrail.core.id.RouteId;
import org.teaseltrail.core.quarantine.Fingerprint;
import org.teaseltrail.core.suspect.QuarantineSubject;

/** Content of a call, which is the same for each retry of its caller. */
final class CallContent extends QuarantineSubject {

  private static final String NO_PATH = "";

  private final CustomerId customer;
  private final RouteId route;
  private final String bodyDigest;

  CallContent(CustomerId customer, RouteId route, String bodyDigest) {
    this.customer = customer;
    this.route = route;
    this.bodyDigest = bodyDigest;
  }

  CustomerId customer() {
    return customer;
  }

  @Override
  public int scope() {
    return Fingerprint.scope(Optional.of(customer), route.value(), NO_PATH);
  }

  @Override
  protected Fingerprint computeFingerprint() {
    return Fingerprint.of(
        scope(),
        Optional.of(customer),
        route.value(),
        digest -> digest.update(bodyDigest.getBytes(StandardCharsets.UTF_8)));
  }
}
