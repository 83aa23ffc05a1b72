package org.teaseltrail.core.quarantine;

import java.util.Optional;
import org.teaseltrail.core.id.CustomerId;

/**
 * Is a request that no upstream gets any longer, as several were lost under it.
 *
 * @param request what is asked for
 * @param customer whose it is, if that is known
 * @param heldAtMs log time at which it was held, in milliseconds
 * @param trials how often it was let go to one upstream since, to see whether that is lost too
 */
public record HeldRequest(
    Fingerprint request, Optional<CustomerId> customer, long heldAtMs, int trials) {

  HeldRequest triedOnceMore() {
    return new HeldRequest(request, customer, heldAtMs, trials + 1);
  }
}
