package org.teaseltrail.core.control;

import java.util.HashMap;
import java.util.List;
import java.util.Map;
import org.teaseltrail.core.id.UpstreamId;
import org.teaseltrail.core.registry.Registration;
import org.teaseltrail.core.registry.RegistrationPhase;

/**
 * Tracks, on the leader, which upstreams have announced that they have warmed up.
 *
 * <p>Without it, a new version could be judged slow because its upstreams have just started.
 */
final class WarmUpTracker {

  private static final long NS_PER_MS = 1_000_000L;

  private final Map<UpstreamId, Long> warmAtNs = new HashMap<>();

  /** Records an upstream's heartbeat. */
  void heard(Registration heard, long nowNs) {
    warmAtNs.put(heard.id(), nowNs + heard.coldMs() * NS_PER_MS);
  }

  /** Removes all other upstreams. */
  void retain(List<Registration> present) {
    warmAtNs.keySet().retainAll(present.stream().map(Registration::id).toList());
  }

  /**
   * Returns whether an upstream accepts requests and has warmed up; false if no heartbeat of it was
   * received yet.
   */
  boolean isWarm(Registration upstream, long nowNs) {
    Long fromNs = warmAtNs.get(upstream.id());
    return upstream.phase() == RegistrationPhase.READY && fromNs != null && nowNs >= fromNs;
  }
}
