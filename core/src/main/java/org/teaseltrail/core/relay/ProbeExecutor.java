package org.teaseltrail.core.relay;

import java.util.List;
import org.teaseltrail.core.id.UpstreamId;

/** Carries out the probes of a {@link PathMonitor}. */
public interface ProbeExecutor {

  /**
   * Starts probes. Each must be reported back, also if it failed.
   *
   * @param upstreams the upstreams to probe
   * @param kind how to probe them
   */
  void probe(List<UpstreamId> upstreams, ProbeKind kind);
}
