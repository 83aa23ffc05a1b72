package org.teaseltrail.core.control;

import java.util.Comparator;
import java.util.List;
import java.util.Map;
import java.util.TreeMap;
import org.teaseltrail.core.configuration.AllowedUpstream;
import org.teaseltrail.core.control.ControlStatus.EntryVmStatus;
import org.teaseltrail.core.control.ControlStatus.PoolStatus;
import org.teaseltrail.core.control.ControlStatus.TierCount;
import org.teaseltrail.core.control.ControlStatus.UpstreamStatus;
import org.teaseltrail.core.id.PoolId;
import org.teaseltrail.core.id.Tier;

/** Shows a leadership's state to operators. */
final class StatusReport {

  private final Leadership leadership;

  StatusReport(Leadership leadership) {
    this.leadership = leadership;
  }

  ControlStatus build() {
    ReplicatedState replicated = leadership.context().replicated();
    return new ControlStatus(
        leadership.context().self(),
        replicated.replica().term(),
        leadership.configuration().revision(),
        replicated.membership(),
        leadership.claims().size(),
        entryVms(),
        pools(),
        upstreams());
  }

  private List<EntryVmStatus> entryVms() {
    return leadership.sessions().all().stream()
        .map(
            session ->
                new EntryVmStatus(
                    session.vm(),
                    session.dataCenter(),
                    session.appliedRevision(),
                    session.hasReported()))
        .toList();
  }

  private List<PoolStatus> pools() {
    return leadership.configuration().pools().keySet().stream()
        .sorted(Comparator.comparing(PoolId::value))
        .map(this::pool)
        .toList();
  }

  private PoolStatus pool(PoolId pool) {
    Map<Tier, Integer> waiting = new TreeMap<>();
    int running = 0;
    for (TrackedRequest request : leadership.requests().all()) {
      if (!request.pool().equals(pool)) {
        continue;
      }
      if (request.upstream().isPresent()) {
        running++;
      } else {
        waiting.merge(request.tier(), 1, Integer::sum);
      }
    }
    List<TierCount> counts =
        waiting.entrySet().stream()
            .map(entry -> new TierCount(entry.getKey(), entry.getValue()))
            .toList();
    return new PoolStatus(pool, counts, running);
  }

  private List<UpstreamStatus> upstreams() {
    return leadership.configuration().upstreams().values().stream()
        .sorted(Comparator.comparing(upstream -> upstream.id().value()))
        .map(this::upstream)
        .toList();
  }

  private UpstreamStatus upstream(AllowedUpstream upstream) {
    long running =
        leadership.requests().all().stream()
            .filter(request -> request.upstream().filter(upstream.id()::equals).isPresent())
            .count();
    return new UpstreamStatus(
        upstream.id(),
        upstream.pool(),
        upstream.draining(),
        leadership.fleet().find(upstream.id(), leadership.nowNs()),
        (int) running);
  }
}
