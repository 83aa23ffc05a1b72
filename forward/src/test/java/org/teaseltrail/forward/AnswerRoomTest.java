package org.teaseltrail.forward;

import static org.assertj.core.api.Assertions.assertThat;

import java.util.ArrayList;
import java.util.List;
import org.junit.jupiter.api.Test;

/** Guards against answers that together take more memory than the process has. */
class AnswerRoomTest {

  private static final int LARGE_BYTES = 6_000_000;
  private static final int FIRST_READ_BYTES = 65_537;

  private final BodyBudget budget = new BodyBudget(16_000_000);
  private final List<String> resumed = new ArrayList<>();

  @Test
  void noMoreAnswersHaveRoomThanFit() {
    int withRoom = 0;
    for (int i = 0; i < 24; i++) {
      withRoom += reserve(new AnswerRoom(budget), "answer") ? 1 : 0;
    }
    assertThat(withRoom).isEqualTo(2);
    assertThat(budget.usedBytes()).isEqualTo(2 * LARGE_BYTES);
  }

  /** Guards against an answer that is read on although it waits for room. */
  @Test
  void waitsWithEachPartUntilThereIsRoom() {
    AnswerRoom first = new AnswerRoom(budget);
    reserve(first, "first");
    reserve(new AnswerRoom(budget), "second");
    AnswerRoom third = new AnswerRoom(budget);
    assertThat(reserve(third, "third")).isFalse();
    assertThat(reserve(third, "third")).isFalse();
    first.release();
    assertThat(resumed).containsExactly("third");
    assertThat(reserve(third, "third")).isTrue();
  }

  @Test
  void smallAnswerNeverWaits() {
    budget.tryReserve(16_000_000);
    assertThat(new AnswerRoom(budget).reserve(800, 800, () -> resumed.add("small"))).isTrue();
  }

  /** Guards against an upstream that takes all room by stating a length that none can have. */
  @Test
  void statedLengthTakesNoMoreThanAnAnswerMayHave() {
    AnswerRoom boastful = new AnswerRoom(budget);
    assertThat(boastful.reserve(FIRST_READ_BYTES, 1_000_000_000, () -> {})).isTrue();
    assertThat(reserve(new AnswerRoom(budget), "other")).isTrue();
  }

  /** Guards against room that is lost with requests that are given up, waiting or not. */
  @Test
  void requestThatIsGivenUpLeavesNothingBehind() {
    AnswerRoom first = new AnswerRoom(budget);
    AnswerRoom second = new AnswerRoom(budget);
    AnswerRoom third = new AnswerRoom(budget);
    reserve(first, "first");
    reserve(second, "second");
    reserve(third, "third");
    third.release();
    first.release();
    first.release();
    second.release();
    assertThat(budget.usedBytes()).isZero();
    assertThat(budget.waitingCount()).isZero();
    assertThat(resumed).isEmpty();
  }

  private boolean reserve(AnswerRoom room, String name) {
    return room.reserve(FIRST_READ_BYTES, LARGE_BYTES, () -> resumed.add(name));
  }
}
