package org.teaseltrail.session;

import static org.assertj.core.api.Assertions.assertThat;

import java.util.ArrayList;
import java.util.Collection;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import org.teaseltrail.core.configuration.AllowedUpstream;
import org.teaseltrail.core.configuration.Configuration;
import org.teaseltrail.core.id.UpstreamId;

/** Checks the invariants that span several processes, after each step. */
final class InvariantChecker {

  /**
   * Maximum age of a replaced configuration under which an entry VM still admits requests: the
   * lifetime of a session, plus the drift between two clocks in that time.
   */
  private static final long MAX_CONFIGURATION_AGE_NS = 3_060 * Timeline.MS;

  private final SimulatedCluster cluster;
  private final Map<UpstreamId, Long> drainedSinceNs = new HashMap<>();
  private final List<Long> grantTimesNs = new ArrayList<>();
  private final List<Long> acceptTimesNs = new ArrayList<>(List.of(0L));

  InvariantChecker(SimulatedCluster cluster) {
    this.cluster = cluster;
  }

  long drainedSinceNs(UpstreamId upstream) {
    return drainedSinceNs.getOrDefault(upstream, Long.MAX_VALUE);
  }

  long latestRevision() {
    return acceptTimesNs.size() - 1;
  }

  /** Checks that at most one member holds a valid lease, and tracks the accepted configurations. */
  void checkAfterStep() {
    int leases = 0;
    for (ControlProcess member : cluster.members()) {
      leases += member.hasValidLease() ? 1 : 0;
      if (member.isRunning() && member.revision() > latestRevision()) {
        onConfigurationAccepted(member.configuration());
      }
    }
    assertThat(leases).describedAs("members with a valid lease").isLessThanOrEqualTo(1);
  }

  void onConfigurationApplied(EntryProcess entry, long before, long after) {
    assertThat(after).describedAs("revision on %s", entry.name()).isGreaterThanOrEqualTo(before);
  }

  void onAdmitted(EntryProcess entry) {
    long revision = entry.revision();
    if (revision < latestRevision()) {
      long sinceNs = cluster.timeline().nowNs() - acceptTimesNs.get((int) revision + 1);
      assertThat(sinceNs)
          .describedAs("age of the configuration after %d on %s", revision, entry.name())
          .isLessThanOrEqualTo(MAX_CONFIGURATION_AGE_NS);
    }
  }

  void onExit(EntryProcess entry, Collection<Submission> unfinished) {
    assertThat(unfinished)
        .describedAs("requests aborted by the exit of %s", entry.name())
        .isEmpty();
  }

  /** Records the time at which a grant is sent, to measure how long scheduling was interrupted. */
  void granted() {
    grantTimesNs.add(cluster.timeline().nowNs());
  }

  List<Long> grantTimesNs() {
    return grantTimesNs;
  }

  private void onConfigurationAccepted(Configuration configuration) {
    long nowNs = cluster.timeline().nowNs();
    while (latestRevision() < configuration.revision().value()) {
      acceptTimesNs.add(nowNs);
    }
    for (AllowedUpstream upstream : configuration.upstreams().values()) {
      if (upstream.draining()) {
        drainedSinceNs.putIfAbsent(upstream.id(), nowNs);
      } else {
        drainedSinceNs.remove(upstream.id());
      }
    }
  }
}
