package org.teaseltrail.load.policy;

import org.teaseltrail.core.id.UpstreamId;
import org.teaseltrail.core.message.Usage;

/** Checks that an answer is its own request's and whole. */
final class AnswerCheck {

  private AnswerCheck() {}

  static void inOrder(TrackedRequest request, UpstreamId engine, int firstSequence) {
    check(request, request.upstream().filter(engine::equals).isPresent(), "another upstream");
    check(request, request.tokens() == firstSequence, "a gap in its answer");
  }

  static void whole(TrackedRequest request, Usage usage) {
    int tokens = request.tokens();
    check(request, tokens == usage.outputTokens(), "fewer tokens than its engine made");
    check(request, tokens == request.planned().outputTokens(), "an answer of another length");
  }

  private static void check(TrackedRequest request, boolean holds, String complaint) {
    if (!holds) {
      throw new IllegalStateException(request.id() + " got " + complaint);
    }
  }
}
