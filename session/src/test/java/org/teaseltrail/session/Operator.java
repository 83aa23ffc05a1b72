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

/** Sends changes to one member after the other until one gives a final answer. */
final class Operator {

  private static final long RESEND_NS = 700 * Timeline.MS;

  private final SessionWorld world;
  private final int lostAnswersPercent;
  private final Map<ChangeId, ChangeResult> results = new HashMap<>();
  private final Map<Revision, ChangeId> winners = new HashMap<>();

  Operator(SessionWorld world, int lostAnswersPercent) {
    this.world = world;
    this.lostAnswersPercent = lostAnswersPercent;
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
    ControlProcess member = world.members().get(attempt % world.members().size());
    int life = member.life();
    world
        .timeline()
        .after(
            world.network().delayNs(),
            () -> member.deliver(life, () -> member.ask(change, r -> answered(change, r))));
    world.timeline().after(RESEND_NS, () -> send(change, attempt + 1));
  }

  private void answered(OperatorRequest.Change change, OperatorResult result) {
    boolean lost = world.random().nextInt(100) < lostAnswersPercent;
    if (result instanceof OperatorResult.Changed changed && !lost) {
      world.timeline().after(world.network().delayNs(), () -> decided(change, changed.result()));
    }
  }

  private void decided(OperatorRequest.Change change, ChangeResult result) {
    ChangeResult before = results.putIfAbsent(change.change(), result);
    if (before != null) {
      assertThat(result).describedAs("result of resent %s", change.change()).isEqualTo(before);
      return;
    }
    world.trace().line("operator", "change " + change.change() + " came to " + result);
    if (result instanceof ChangeResult.Accepted accepted) {
      assertThat(winners.putIfAbsent(accepted.revision(), change.change()))
          .describedAs("other winner of revision %s", accepted.revision())
          .isNull();
    }
  }
}
