package org.teaseltrail.session;

import static org.assertj.core.api.Assertions.assertThat;

import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import org.teaseltrail.core.configuration.ConfigurationChange;
import org.teaseltrail.core.control.OperatorRequest;
import org.teaseltrail.core.control.OperatorResult;
import org.teaseltrail.core.id.ChangeId;
import org.teaseltrail.core.id.Revision;
import org.teaseltrail.core.state.ChangeResult;

/**
 * Operator's client. It retries a change on one member after the other until it receives a final
 * result, and checks that retries return the same result and that no two changes are accepted as
 * the same revision.
 */
final class OperatorClient {

  private static final long RETRY_INTERVAL_NS = 700 * Timeline.MS;

  private final SimulatedCluster cluster;
  private final int lostResponsesPercent;
  private final Map<ChangeId, ChangeResult> results = new HashMap<>();
  private final Map<Revision, ChangeId> acceptedChanges = new HashMap<>();

  OperatorClient(SimulatedCluster cluster, int lostResponsesPercent) {
    this.cluster = cluster;
    this.lostResponsesPercent = lostResponsesPercent;
  }

  Optional<ChangeResult> result(ChangeId change) {
    return Optional.ofNullable(results.get(change));
  }

  void change(String id, Optional<Revision> expected, List<ConfigurationChange> items) {
    send(new OperatorRequest.Change(new ChangeId(id), expected, items), 0);
  }

  private void send(OperatorRequest.Change change, int attempt) {
    if (results.containsKey(change.change())) {
      return;
    }
    ControlProcess member = cluster.members().get(attempt % cluster.members().size());
    int life = member.incarnation();
    cluster
        .timeline()
        .after(
            cluster.network().delayNs(),
            () ->
                member.deliver(
                    life,
                    () ->
                        member.submitOperatorRequest(
                            change, response -> onResponse(change, response))));
    cluster.timeline().after(RETRY_INTERVAL_NS, () -> send(change, attempt + 1));
  }

  private void onResponse(OperatorRequest.Change change, OperatorResult result) {
    boolean lost = cluster.random().nextInt(100) < lostResponsesPercent;
    if (result instanceof OperatorResult.Changed changed && !lost) {
      cluster
          .timeline()
          .after(cluster.network().delayNs(), () -> onResult(change, changed.result()));
    }
  }

  private void onResult(OperatorRequest.Change change, ChangeResult result) {
    ChangeResult before = results.putIfAbsent(change.change(), result);
    if (before != null) {
      assertThat(result)
          .describedAs("result of retried change %s", change.change())
          .isEqualTo(before);
      return;
    }
    cluster.trace().addLine("operator", "change " + change.change() + " came to " + result);
    if (result instanceof ChangeResult.Accepted accepted) {
      assertThat(acceptedChanges.putIfAbsent(accepted.revision(), change.change()))
          .describedAs("other change accepted as revision %s", accepted.revision())
          .isNull();
    }
  }
}
