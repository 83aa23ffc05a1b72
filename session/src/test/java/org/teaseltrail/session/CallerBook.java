package org.teaseltrail.session;

import static org.assertj.core.api.Assertions.assertThat;

import java.util.Collection;
import java.util.HashMap;
import java.util.LinkedHashMap;
import java.util.Map;
import org.teaseltrail.core.id.RequestId;
import org.teaseltrail.core.request.ExecutionStatus;
import org.teaseltrail.core.request.Outcome;

/** Keeps all that callers have asked for and been told. */
final class CallerBook {

  private final SessionWorld world;
  private final Map<RequestId, Submission> submissions = new LinkedHashMap<>();

  CallerBook(SessionWorld world) {
    this.world = world;
  }

  Submission submit(Call call, EntryProcess entry) {
    RequestId id = new RequestId("r" + (submissions.size() + 1));
    Submission submission = new Submission(world, id, call, entry);
    submissions.put(id, submission);
    world
        .trace()
        .line("caller " + call.spec().name(), "asks " + entry.name() + ", which calls it " + id);
    entry.arrive(submission);
    return submission;
  }

  Submission find(RequestId id) {
    return submissions.get(id);
  }

  Collection<Submission> all() {
    return submissions.values();
  }

  /** Checks what may only be said once all is over. */
  void checkAtEnd() {
    Map<String, Integer> runsByKey = new HashMap<>();
    for (Submission submission : submissions.values()) {
      int runs = world.engineHistory().runs(submission.id());
      assertThat(submission.isOver()).describedAs("%s is over", submission.id()).isTrue();
      checkRan(submission, runs);
      CallSpec spec = submission.call().spec();
      if (spec.once()) {
        int total = runsByKey.merge(spec.key().orElseThrow(), runs, Integer::sum);
        assertThat(total).describedAs("runs under key %s", spec.key()).isLessThanOrEqualTo(1);
      }
    }
  }

  private static void checkRan(Submission submission, int runs) {
    boolean toldNotRun =
        submission.outcome().map(Outcome::ran).filter(ran -> ran == ExecutionStatus.NO).isPresent();
    if (toldNotRun) {
      assertThat(runs).describedAs("runs of %s, told not run", submission.id()).isZero();
    }
  }
}
