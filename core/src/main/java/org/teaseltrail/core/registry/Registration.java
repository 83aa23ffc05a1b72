package org.teaseltrail.core.registry;

import java.util.Optional;
import java.util.concurrent.TimeUnit;
import org.teaseltrail.core.id.DataCenterId;
import org.teaseltrail.core.id.ServiceId;
import org.teaseltrail.core.id.UpstreamId;
import org.teaseltrail.core.id.UpstreamVersion;
import org.teaseltrail.core.upstream.SocketAddress;

/**
 * Registration of an upstream, as reported in its heartbeats. An upstream may restart under the
 * same id; its start time distinguishes its incarnations.
 *
 * @param id the upstream
 * @param bornMs its start time in Unix milliseconds by its own clock, 0 if not reported
 * @param service the service that it belongs to
 * @param address the address at which it accepts requests
 * @param dataCenter its data centre
 * @param slots number of requests that it processes concurrently
 * @param phase phase of the registration
 * @param sequence increases with each heartbeat of one incarnation
 * @param version the version of its software, if reported
 * @param coldMs remaining warm-up time that it reports, in milliseconds; it is slow until then
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
   * Largest number of slots, many times what an upstream processes at once: the leader deals slots
   * one by one.
   */
  public static final int MAX_SLOTS = 10_000;

  /** Longest remaining warm-up time, in milliseconds. */
  public static final long MAX_COLD_MS = TimeUnit.DAYS.toMillis(1);

  /** Bounds the numbers, which an old log may hold without bounds. */
  public Registration {
    slots = Math.max(0, Math.min(MAX_SLOTS, slots));
    coldMs = Math.max(0, Math.min(MAX_COLD_MS, coldMs));
  }

  /**
   * Returns the incarnation of the upstream that sent the registration.
   *
   * @return the incarnation
   */
  public UpstreamIncarnation upstreamIncarnation() {
    return new UpstreamIncarnation(id, bornMs);
  }

  /**
   * Returns whether the upstream reports its start time.
   *
   * @return false if its incarnations can't be distinguished
   */
  public boolean reportsStartTime() {
    return bornMs > 0;
  }

  /**
   * Returns a copy in a later phase.
   *
   * @param later the phase
   * @return the copy
   */
  public Registration withPhase(RegistrationPhase later) {
    return new Registration(
        id, bornMs, service, address, dataCenter, slots, later, sequence, version, coldMs);
  }

  /**
   * Returns whether two registrations are equal except for the sequence number and the remaining
   * warm-up time.
   *
   * @param other the other registration
   * @return true if no field that decisions depend on differs
   */
  public boolean hasSameContentAs(Registration other) {
    return withoutVolatileFields().equals(other.withoutVolatileFields());
  }

  /** Clears the fields that change with every heartbeat. */
  private Registration withoutVolatileFields() {
    return new Registration(id, bornMs, service, address, dataCenter, slots, phase, 0, version, 0);
  }
}
