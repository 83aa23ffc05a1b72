package org.teaseltrail.core.control;

import java.util.Comparator;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.TreeMap;
import org.teaseltrail.core.configuration.AllowedUpstream;
import org.teaseltrail.core.control.ControlStatus.EntryVmStatus;
import org.teaseltrail.core.control.ControlStatus.PoolStatus;
import org.teaseltrail.core.control.ControlStatus.TierCount;
import org.teaseltrail.core.control.ControlStatus.UpstreamStatus;
import org.teaseltrail.core.id.MemberId;
import org.teaseltrail.core.id.PoolId;
import org.teaseltrail.core.id.Tier;

/**
 * Builds a member's status report for operators, including the state of its leadership if it leads.
 */
final class ControlStatusBuilder {

  private final MemberId self;
  private final ReplicatedStateMachine stateMachine;
  private final Optional<Leadership> activeLeadership;

  ControlStatusBuilder(
      MemberId self, ReplicatedStateMachine stateMachine, Optional<Leadership> activeLeadership) {
    this.self = self;
    this.stateMachine = stateMachine;
    this.activeLeadership = activeLeadership;
  }

  ControlStatus build(long nowNs) {
    return new ControlStatus(
        self,
        activeLeadership.isPresent(),
        stateMachine.replica().leader(),
        stateMachine.replica().term(),
        stateMachine.state().configuration().revision(),
        stateMachine.membership(),
        stateMachine.state().claims().size(),
        activeLeadership.map(leader -> entryVms(leader, nowNs)).orElse(List.of()),
        activeLeadership.map(this::pools).orElse(List.of()),
        activeLeadership.map(this::upstreams).orElse(List.of()));
  }

  private List<EntryVmStatus> entryVms(Leadership leadership, long nowNs) {
    return leadership.sessions().all().stream()
        .map(
            session ->
                new EntryVmStatus(
                    session.vm(),
                    session.dataCenter(),
                    session.appliedRevision(),
                    session.sinceHelloMs(nowNs),
                    session.hasReported()))
        .toList();
  }

  private List<PoolStatus> pools(Leadership leadership) {
    return leadership.configuration().pools().keySet().stream()
        .sorted(Comparator.comparing(PoolId::value))
        .map(pool -> pool(leadership, pool))
        .toList();
  }

  private PoolStatus pool(Leadership leadership, PoolId pool) {
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
    return new PoolStatus(pool, counts, running, leadership.entryHandler().haveAllReported());
  }

  private List<UpstreamStatus> upstreams(Leadership leadership) {
    return leadership.configuration().upstreams().values().stream()
        .sorted(Comparator.comparing(upstream -> upstream.id().value()))
        .map(upstream -> upstream(leadership, upstream))
        .toList();
  }

  private UpstreamStatus upstream(Leadership leadership, AllowedUpstream upstream) {
    long running =
        leadership.requests().all().stream()
            .filter(request -> request.upstream().filter(upstream.id()::equals).isPresent())
            .count();
    return new UpstreamStatus(
        upstream.id(),
        upstream.pool(),
        upstream.draining(),
        leadership.announcements().find(upstream.id(), leadership.nowNs()),
        (int) running);
  }
}
