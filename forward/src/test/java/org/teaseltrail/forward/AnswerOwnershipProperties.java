package org.teaseltrail.forward;

import io.netty.handler.codec.http.HttpMethod;
import java.util.List;
import net.jqwik.api.Arbitrary;
import net.jqwik.api.ForAll;
import net.jqwik.api.Property;
import net.jqwik.api.Provide;
import net.jqwik.api.constraints.IntRange;
import org.teaseltrail.forward.AnswerStep.Second;

/**
 * Upstreams that answer requests a second time, cut into random pieces. Callers had got answers
 * that were not their own. A request may be completed only with the first answer that its upstream
 * wrote for it, whole, and isn't left open once that was there.
 */
class AnswerOwnershipProperties {

  /** Guards against an answer to an earlier request that names it and is taken all the same. */
  @Property(seed = "71001", tries = 1_500)
  void namedSecondAnswerIsTakenByNone(
      @ForAll("steps") List<AnswerStep> steps,
      @ForAll long cutSeed,
      @ForAll @IntRange(min = 1, max = 400) int maxPieceBytes) {
    new ScriptedUpstream(steps, cutSeed, maxPieceBytes).play();
  }

  /** Guards against a second answer that names no request and is taken by a later one. */
  @Property(seed = "71002", tries = 1_500)
  void unnamedSecondAnswerIsTakenByNone(
      @ForAll("stepsWithoutIds") List<AnswerStep> steps,
      @ForAll long cutSeed,
      @ForAll @IntRange(min = 1, max = 400) int maxPieceBytes) {
    new ScriptedUpstream(steps, cutSeed, maxPieceBytes).play();
  }

  /** Guards against a second answer that is taken by a later request with the same id. */
  @Property(seed = "71003", tries = 1_500)
  void repeatedIdGetsItsOwnAnswer(
      @ForAll("stepsWithRepeatedIds") List<AnswerStep> steps,
      @ForAll long cutSeed,
      @ForAll @IntRange(min = 1, max = 400) int maxPieceBytes) {
    new ScriptedUpstream(steps, cutSeed, maxPieceBytes).play();
  }

  /** Guards against answers without a body whose length is read out of the next answer. */
  @Property(seed = "71004", tries = 1_500)
  void answerToHeadIsTakenByNone(
      @ForAll("stepsWithHead") List<AnswerStep> steps,
      @ForAll long cutSeed,
      @ForAll @IntRange(min = 1, max = 400) int maxPieceBytes) {
    new ScriptedUpstream(steps, cutSeed, maxPieceBytes).play();
  }

  /** Guards against the start of a second answer that is joined with a request's own answer. */
  @Property(seed = "71005", tries = 1_500)
  void startOfSecondAnswerIsNotJoinedWithNextAnswer(
      @ForAll("stepsWithBrokenOffAnswers") List<AnswerStep> steps,
      @ForAll long cutSeed,
      @ForAll @IntRange(min = 1, max = 400) int maxPieceBytes) {
    new ScriptedUpstream(steps, cutSeed, maxPieceBytes).play();
  }

  @Provide
  Arbitrary<List<AnswerStep>> stepsWithBrokenOffAnswers() {
    return new AnswerSteps().seconds(Second.NONE, Second.BROKEN_OFF).lists();
  }

  @Provide
  Arbitrary<List<AnswerStep>> steps() {
    return new AnswerSteps().lists();
  }

  @Provide
  Arbitrary<List<AnswerStep>> stepsWithoutIds() {
    return new AnswerSteps()
        .unnamed()
        .seconds(
            Second.NONE, Second.WITHOUT_ID, Second.OTHER_STATUS_WITHOUT_ID, Second.OTHER_STATUS)
        .lists();
  }

  @Provide
  Arbitrary<List<AnswerStep>> stepsWithRepeatedIds() {
    return new AnswerSteps().repeatingIds().lists();
  }

  @Provide
  Arbitrary<List<AnswerStep>> stepsWithHead() {
    return new AnswerSteps().methods(HttpMethod.GET, HttpMethod.HEAD).lists();
  }
}
