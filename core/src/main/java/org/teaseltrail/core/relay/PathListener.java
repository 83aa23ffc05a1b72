package org.teaseltrail.core.relay;

import java.util.List;
import org.teaseltrail.core.id.ServiceId;
import org.teaseltrail.core.id.UpstreamId;

/** Receives what a {@link PathMonitor} wants to be done, and what it finds. */
public interface PathListener {

  /**
   * Requests probes. Each must be reported back, also if it failed.
   *
   * @param upstreams the upstreams to probe
   * @param kind how to probe them
   */
  void onProbesDue(List<UpstreamId> upstreams, ProbeKind kind);

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
