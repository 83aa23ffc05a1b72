package org.teaseltrail.core.quarantine;

import java.nio.charset.StandardCharsets;
import java.util.Objects;
import java.util.Optional;
import org.teaseltrail.core.id.CustomerId;

/**
 * A part of a request's prompt as the quarantine sees it. Requests of one customer that are no two
 * alike may have such a part in common.
 *
 * <p>The last part of a prompt belongs to one request or session and is not regarded.
 *
 * @param customer the customer that sent the request, if known
 * @param part id of the part
 */
public record PartFeature(Optional<CustomerId> customer, String part) {

  private static final String KIND = "prompt-part";

  /**
   * Returns the scope of its fingerprint, which is cheap to compute.
   *
   * @return the scope
   */
  public int scope() {
    return Objects.hash(KIND, customer.map(CustomerId::value).orElse(""), part);
  }

  /**
   * Computes its fingerprint.
   *
   * @return the fingerprint, which equals that of no request's content
   */
  public Fingerprint fingerprint() {
    return Fingerprint.of(
        scope(), customer, KIND, digest -> digest.update(part.getBytes(StandardCharsets.UTF_8)));
  }
}
