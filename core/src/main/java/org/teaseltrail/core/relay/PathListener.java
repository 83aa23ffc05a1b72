package org.teaseltrail.core.relay;

import org.teaseltrail.core.id.ServiceId;

/** Receives what a {@link PathMonitor} finds. */
public interface PathListener {

  /**
   * Notifies that this VM reaches no upstream of a service any more.
   *
   * @param service the service
   * @param nowNs current time, in nanoseconds
   */
  void onPathLost(ServiceId service, long nowNs);

  /**
   * Notifies that this VM reaches an upstream of a service again.
   *
   * @param service the service
   * @param nowNs current time, in nanoseconds
   */
  void onPathRegained(ServiceId service, long nowNs);

  /**
   * Notifies that a round of probes has found a path to a service.
   *
   * @param service the service
   * @param startedNs time at which the round started, in nanoseconds
   * @param nowNs current time, in nanoseconds
   */
  default void onPathVerified(ServiceId service, long startedNs, long nowNs) {}
}
