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

/** Checks what is promised of all processes together, at each step. */
final class SessionChecks {

  /** A session's lifetime, and what two clocks may drift apart meanwhile. */
  private static final long LIFETIME_NS = 3_060 * Timeline.MS;

  private final SessionWorld world;
  private final Map<UpstreamId, Long> drainedSinceNs = new HashMap<>();
  private final List<Long> grantedAtNs = new ArrayList<>();
  private final List<Long> acceptedAtNs = new ArrayList<>(List.of(0L));

  SessionChecks(SessionWorld world) {
    this.world = world;
  }

  long drainedSinceNs(UpstreamId upstream) {
    return drainedSinceNs.getOrDefault(upstream, Long.MAX_VALUE);
  }

  long newestRevision() {
    return acceptedAtNs.size() - 1;
  }

  /** Looks at the members: one lease at most, and what the newest accepted configuration is. */
  void afterEach() {
    int leases = 0;
    for (ControlProcess member : world.members()) {
      leases += member.leaseHolds() ? 1 : 0;
      if (member.isUp() && member.revision() > newestRevision()) {
        accepted(member.configuration());
      }
    }
    assertThat(leases).describedAs("members whose lease holds").isLessThanOrEqualTo(1);
  }

  void configured(EntryProcess entry, long before, long after) {
    assertThat(after).describedAs("revision on %s", entry.name()).isGreaterThanOrEqualTo(before);
  }

  void admitted(EntryProcess entry) {
    long revision = entry.revision();
    if (revision < newestRevision()) {
      long sinceNs = world.timeline().nowNs() - acceptedAtNs.get((int) revision + 1);
      assertThat(sinceNs)
          .describedAs("age of the configuration after %d on %s", revision, entry.name())
          .isLessThanOrEqualTo(LIFETIME_NS);
    }
  }

  void exits(EntryProcess entry, Collection<Submission> left) {
    assertThat(left).describedAs("requests cut off by the exit of %s", entry.name()).isEmpty();
  }

  /** Notes a grant that leaves, for the time without scheduling. */
  void granted() {
    grantedAtNs.add(world.timeline().nowNs());
  }

  List<Long> grantedAtNs() {
    return grantedAtNs;
  }

  private void accepted(Configuration configuration) {
    long nowNs = world.timeline().nowNs();
    while (newestRevision() < configuration.revision().value()) {
      acceptedAtNs.add(nowNs);
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
