package org.teaseltrail.core.forward;

import org.teaseltrail.core.id.UpstreamId;
import org.teaseltrail.core.relay.ProbeKind;
import org.teaseltrail.core.relay.ProbeResult;

/**
 * Probes upstreams to which connections failed before callers' requests are sent there again.
 *
 * <p>Where paths aren't monitored, nothing is probed: the first request after the ejection shows
 * whether the upstream is back. Nor is anything probed here while the paths to its service are
 * lost, since failures are forgotten then.
 */
final class ReadmissionProber {

  /** Maximum number of probes that start in one tick, so that few connections open at once. */
  static final int MAX_PROBES_AT_ONCE = 8;

  private final UpstreamTracker upstreams;
  private final UpstreamPaths paths;

  ReadmissionProber(UpstreamTracker upstreams, UpstreamPaths paths) {
    this.upstreams = upstreams;
    this.paths = paths;
  }

  /** Records the outcome of an attempt at an upstream. */
  void recordOutcome(UpstreamState upstream, AttemptOutcome outcome) {
    if (paths.isEnabled() && outcome.isConnectionFailure()) {
      upstream.awaitProbe();
    }
  }

  /** Handles the result of a probe of any upstream. */
  void onProbeEnded(UpstreamId upstream, ProbeResult result, long nowNs) {
    upstreams
        .find(upstream)
        .ifPresent(state -> state.recordProbe(result != ProbeResult.FAILED, nowNs));
  }

  /** Starts the probes that are due. */
  void tick(long nowNs) {
    paths.probe(upstreams.pollProbes(MAX_PROBES_AT_ONCE, nowNs), ProbeKind.CONNECT);
  }
}
