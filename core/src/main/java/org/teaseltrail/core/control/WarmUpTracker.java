package org.teaseltrail.core.control;

import java.util.HashMap;
import java.util.List;
import java.util.Map;
import org.teaseltrail.core.id.UpstreamId;
import org.teaseltrail.core.registry.Registration;
import org.teaseltrail.core.registry.RegistrationPhase;

/**
 * Knows, on the leader, which upstreams say that they have warmed up.
 *
 * <p>Guards against a version that is taken for slow because its upstreams have just started.
 */
final class WarmUpTracker {

  private static final long NS_PER_MS = 1_000_000L;

  private final Map<UpstreamId, Long> warmFromNs = new HashMap<>();

  /** Takes an upstream's heartbeat. */
  void heard(Registration heard, long nowNs) {
    warmFromNs.put(heard.id(), nowNs + heard.coldMs() * NS_PER_MS);
  }

  /** Forgets all but these. */
  void retain(List<Registration> present) {
    warmFromNs.keySet().retainAll(present.stream().map(Registration::id).toList());
  }

  /** Tells whether an upstream takes requests and is warm; one that wasn't heard of yet isn't. */
  boolean isWarm(Registration upstream, long nowNs) {
    Long fromNs = warmFromNs.get(upstream.id());
    return upstream.phase() == RegistrationPhase.READY && fromNs != null && nowNs >= fromNs;
  }
}
