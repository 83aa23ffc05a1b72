package org.teaseltrail.core.stream;

import java.util.Optional;
import org.teaseltrail.core.id.ServiceId;
import org.teaseltrail.core.id.UpstreamVersion;
import org.teaseltrail.core.registry.Registration;

/**
 * What wrote the first event of a stream. Only an upstream of the same service and version can
 * continue it: what two versions write doesn't fit together, and upstreams don't check it.
 *
 * @param service the service
 * @param version the version that the upstream had registered, empty if it reported none; upstreams
 *     that report none count as one version of their own
 */
public record StreamOrigin(ServiceId service, Optional<UpstreamVersion> version) {

  /**
   * Returns the origin of the streams that an upstream begins.
   *
   * @param upstream its registration
   * @return its service and version
   */
  public static StreamOrigin of(Registration upstream) {
    return new StreamOrigin(upstream.service(), upstream.version());
  }

  /**
   * Returns whether an upstream can continue the stream.
   *
   * @param upstream its registration
   * @return true if it belongs to the same service and version
   */
  public boolean matches(Registration upstream) {
    return service.equals(upstream.service()) && version.equals(upstream.version());
  }
}
