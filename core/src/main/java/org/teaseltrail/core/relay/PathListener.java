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
}
