package org.teaseltrail.session;

import static org.assertj.core.api.Assertions.assertThat;

import java.nio.charset.StandardCharsets;
import java.util.Optional;
import org.teaseltrail.core.entry.CallTarget;
import org.teaseltrail.core.entry.CallerCall;
import org.teaseltrail.core.id.IdempotencyKey;
import org.teaseltrail.core.id.RequestId;
import org.teaseltrail.core.request.PrefixBlockHasher;
import org.teaseltrail.core.request.StreamFrame;
import org.teaseltrail.core.request.TokenEstimator;
import org.teaseltrail.standin.model.AnswerTextGenerator;
import org.teaseltrail.standin.model.EngineRequest;

/** One logical call of a caller over all its submissions, with the answer received so far. */
final class Call {

  private static final int TOKEN_BYTES = 4;

  private final CallSpec spec;
  private final byte[] promptUtf8;
  private final long answerSeed;
  private int nextFrame;

  Call(CallSpec spec) {
    this.spec = spec;
    String subject = spec.key().orElse(spec.name());
    String prompt = (subject + " ").repeat(spec.promptTokens() * TOKEN_BYTES);
    this.promptUtf8 =
        prompt.substring(0, spec.promptTokens() * TOKEN_BYTES).getBytes(StandardCharsets.UTF_8);
    this.answerSeed = AnswerTextGenerator.seedOf(subject);
  }

  CallSpec spec() {
    return spec;
  }

  int nextFrame() {
    return nextFrame;
  }

  boolean isComplete() {
    return nextFrame == spec.maxTokens();
  }

  CallerCall toCallerCall() {
    return new CallerCall(
        Optional.of(SimulatedCluster.keyHash(spec.tier())),
        new CallTarget.Generation(
            SimulatedCluster.MODEL.model(),
            Optional.empty(),
            Optional.empty(),
            promptUtf8,
            spec.maxTokens()),
        !spec.atMostOnce(),
        spec.key().map(IdempotencyKey::new),
        spec.key().orElse(spec.name()),
        spec.deadlineMs(),
        nextFrame == 0 ? Optional.empty() : Optional.of((long) nextFrame - 1));
  }

  EngineRequest engineRequest(RequestId id) {
    return new EngineRequest(
        id,
        SimulatedCluster.MODEL,
        TokenEstimator.estimateTokens(promptUtf8.length),
        PrefixBlockHasher.hashBlocks(SimulatedCluster.MODEL, promptUtf8),
        spec.maxTokens(),
        answerSeed);
  }

  /**
   * Checks that the frame is the next one of this call's answer; another one belongs to another
   * caller or is out of order.
   */
  void onTextFrame(StreamFrame.Text frame) {
    assertThat(frame.sequence()).describedAs("frame of %s", spec.name()).isEqualTo(nextFrame);
    assertThat(frame.text())
        .describedAs("text of %s", spec.name())
        .isEqualTo(AnswerTextGenerator.text(answerSeed, nextFrame, 1));
    nextFrame++;
  }
}
