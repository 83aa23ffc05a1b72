package org.teaseltrail.load.policy;

import org.teaseltrail.core.id.UpstreamId;
import org.teaseltrail.core.message.Usage;

/** Validates that a response is complete and belongs to its request. */
final class AnswerValidator {

  private AnswerValidator() {}

  static void checkOrder(TrackedRequest request, UpstreamId engine, int firstSequence) {
    check(
        request,
        request.upstream().filter(engine::equals).isPresent(),
        "a response from another upstream");
    check(
        request, request.tokens() == firstSequence, "a response with a gap in its token sequence");
  }

  static void whole(TrackedRequest request, Usage usage) {
    int tokens = request.tokens();
    check(
        request,
        tokens == usage.outputTokens(),
        "a different number of tokens than its engine generated");
    check(request, tokens == request.planned().outputTokens(), "a response of unexpected length");
  }

  private static void check(TrackedRequest request, boolean holds, String problem) {
    if (!holds) {
      throw new IllegalStateException(request.id() + " received " + problem);
    }
  }
}
