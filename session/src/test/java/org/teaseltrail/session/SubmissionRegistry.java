package org.teaseltrail.session;

import static org.assertj.core.api.Assertions.assertThat;

import java.util.Collection;
import java.util.HashMap;
import java.util.LinkedHashMap;
import java.util.Map;
import org.teaseltrail.core.id.RequestId;
import org.teaseltrail.core.request.ExecutionStatus;
import org.teaseltrail.core.request.Outcome;

/** Registry of all submissions of the callers, with their outcomes. */
final class SubmissionRegistry {

  private final SimulatedCluster cluster;
  private final Map<RequestId, Submission> submissions = new LinkedHashMap<>();

  SubmissionRegistry(SimulatedCluster cluster) {
    this.cluster = cluster;
  }

  Submission submit(Call call, EntryProcess entry) {
    RequestId id = new RequestId("r" + (submissions.size() + 1));
    Submission submission = new Submission(cluster, id, call, entry);
    submissions.put(id, submission);
    cluster
        .trace()
        .addLine("caller " + call.spec().name(), "asks " + entry.name() + ", which calls it " + id);
    entry.onSubmission(submission);
    return submission;
  }

  Submission find(RequestId id) {
    return submissions.get(id);
  }

  Collection<Submission> all() {
    return submissions.values();
  }

  /**
   * Checks the guarantees that can only be checked when no request is in flight: each submission
   * has ended, one reported as not run did not run, and a key with at-most-once execution ran at
   * most once.
   */
  void checkAtEnd() {
    Map<String, Integer> runsByKey = new HashMap<>();
    for (Submission submission : submissions.values()) {
      int runs = cluster.engineRequests().runs(submission.id());
      assertThat(submission.isFinished()).describedAs("%s has ended", submission.id()).isTrue();
      checkNotRun(submission, runs);
      CallSpec spec = submission.call().spec();
      if (spec.atMostOnce()) {
        int total = runsByKey.merge(spec.key().orElseThrow(), runs, Integer::sum);
        assertThat(total).describedAs("runs under key %s", spec.key()).isLessThanOrEqualTo(1);
      }
    }
  }

  private static void checkNotRun(Submission submission, int runs) {
    boolean reportedNotRun =
        submission.outcome().map(Outcome::ran).filter(ran -> ran == ExecutionStatus.NO).isPresent();
    if (reportedNotRun) {
      assertThat(runs)
          .describedAs("runs of %s, which was reported as not run", submission.id())
          .isZero();
    }
  }
}
