package org.teaseltrail.core.registry;

import java.util.Optional;
import org.teaseltrail.core.id.DataCenterId;
import org.teaseltrail.core.id.ServiceId;
import org.teaseltrail.core.id.UpstreamId;
import org.teaseltrail.core.id.UpstreamVersion;
import org.teaseltrail.core.upstream.SocketAddress;

/**
 * Is what an upstream has told of itself. An upstream may start again under the id that it had; the
 * time of its start tells its lives apart.
 *
 * @param id the upstream
 * @param bornMs its start in Unix milliseconds by its own clock, 0 if it doesn't tell
 * @param service the service that it belongs to
 * @param address where it takes requests
 * @param dataCenter where it stands
 * @param slots requests that it works on at once
 * @param phase how far its registration has come
 * @param sequence grows with each heartbeat of one life
 * @param version the version of its software, if it tells one
 * @param coldMs how much longer it says that it is slow after its start, in milliseconds
 */
public record Registration(
    UpstreamId id,
    long bornMs,
    ServiceId service,
    SocketAddress address,
    DataCenterId dataCenter,
    int slots,
    RegistrationPhase phase,
    long sequence,
    Optional<UpstreamVersion> version,
    long coldMs) {

  /**
   * Returns which life of the upstream this is.
   *
   * @return the life
   */
  public UpstreamIncarnation upstreamIncarnation() {
    return new UpstreamIncarnation(id, bornMs);
  }

  /**
   * Returns the registration in a later phase.
   *
   * @param later the phase
   * @return the changed registration
   */
  public Registration withPhase(RegistrationPhase later) {
    return new Registration(
        id, bornMs, service, address, dataCenter, slots, later, sequence, version, coldMs);
  }

  /**
   * Tells whether two heartbeats say the same but for their number and how cold it is.
   *
   * @param other the other
   * @return true if nothing that decides has changed
   */
  public boolean hasSameContentAs(Registration other) {
    return lasting().equals(other.lasting());
  }

  /** Leaves out what each heartbeat tells anew. */
  private Registration lasting() {
    return new Registration(id, bornMs, service, address, dataCenter, slots, phase, 0, version, 0);
  }
}
