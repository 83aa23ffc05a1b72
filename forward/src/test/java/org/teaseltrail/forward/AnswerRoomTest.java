package org.teaseltrail.forward;

import static org.assertj.core.api.Assertions.assertThat;

import java.util.ArrayList;
import java.util.List;
import org.junit.jupiter.api.Test;

/** Guards against answers that together take more memory than the process has. */
class AnswerRoomTest {

  private static final int LARGE_BYTES = 6_000_000;
  private static final int FIRST_READ_BYTES = 65_537;

  private static final int SMALL_BYTES = 65_536;

  private final BodyBudget budget = new BodyBudget(16_000_000);
  private final BodyBudget smallBudget = new BodyBudget(10 * SMALL_BYTES);
  private final BodyBudget growingBudget = new BodyBudget(10 * SMALL_BYTES);
  private final AnswerRoom.Budgets budgets =
      new AnswerRoom.Budgets(smallBudget, growingBudget, budget);
  private final List<String> resumed = new ArrayList<>();

  @Test
  void noMoreAnswersHaveRoomThanFit() {
    int withRoom = 0;
    for (int i = 0; i < 24; i++) {
      withRoom += reserve(new AnswerRoom(budgets), "answer") ? 1 : 0;
    }
    assertThat(withRoom).isEqualTo(2);
    assertThat(budget.usedBytes()).isEqualTo(2 * LARGE_BYTES);
  }

  /** Guards against an answer that is read on although it waits for room. */
  @Test
  void waitsWithEachPartUntilThereIsRoom() {
    AnswerRoom first = new AnswerRoom(budgets);
    reserve(first, "first");
    reserve(new AnswerRoom(budgets), "second");
    AnswerRoom third = new AnswerRoom(budgets);
    assertThat(reserve(third, "third")).isFalse();
    assertThat(reserve(third, "third")).isFalse();
    first.release();
    assertThat(resumed).containsExactly("third");
    assertThat(reserve(third, "third")).isTrue();
  }

  @Test
  void smallAnswerNeverWaits() {
    budget.tryReserve(16_000_000);
    AnswerRoom small = new AnswerRoom(budgets);
    assertThat(small.reserve(800, 800, 800, () -> resumed.add("small"))).isTrue();
  }

  /** Guards against an upstream that takes all room by stating a length that none can have. */
  @Test
  void statedLengthTakesNoMoreThanAnAnswerMayHave() {
    AnswerRoom boastful = new AnswerRoom(budgets);
    assertThat(reserve(boastful, "boastful", 1_000_000_000)).isTrue();
    assertThat(reserve(new AnswerRoom(budgets), "other")).isTrue();
  }

  /** Guards against room that is lost with requests that are given up, waiting or not. */
  @Test
  void requestThatIsGivenUpLeavesNothingBehind() {
    AnswerRoom first = new AnswerRoom(budgets);
    AnswerRoom second = new AnswerRoom(budgets);
    AnswerRoom third = new AnswerRoom(budgets);
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

  /** Guards against answers that are each too small for the budget to see. */
  @Test
  void smallAnswersInGreatNumberWaitForRoom() {
    List<AnswerRoom> rooms = new ArrayList<>();
    int withRoom = 0;
    for (int i = 0; i < 100; i++) {
      rooms.add(new AnswerRoom(budgets));
      withRoom += reservePart(rooms.get(i), 8_000, "answer " + i) ? 1 : 0;
    }
    assertThat(withRoom).isEqualTo(10);
    rooms.get(3).release();
    assertThat(resumed).containsExactly("answer 10");
  }

  /** Guards against small answers that wait behind those that wait for a great deal of room. */
  @Test
  void smallAnswerDoesNotWaitBehindLargeOnes() {
    budget.tryReserve(16_000_000);
    for (int i = 0; i < 20; i++) {
      assertThat(reserve(new AnswerRoom(budgets), "large")).isFalse();
    }
    assertThat(reservePart(new AnswerRoom(budgets), 8_000, "small")).isTrue();
  }

  /** Guards against small answers that wait behind those without a length that grow large. */
  @Test
  void smallAnswerDoesNotWaitBehindGrowingOnes() {
    budget.tryReserve(16_000_000);
    for (int i = 0; i < 20; i++) {
      AnswerRoom growing = new AnswerRoom(budgets);
      reservePart(growing, 8_000, "growing");
      assertThat(reservePart(growing, FIRST_READ_BYTES, "growing")).isFalse();
    }
    AnswerRoom small = new AnswerRoom(budgets);
    assertThat(small.reserve(8_000, 20_000, 20_000, () -> resumed.add("small"))).isTrue();
  }

  /** Guards against answers without a length that grow past the room of small ones. */
  @Test
  void answerWithoutLengthThatGrowsWaitsForMoreRoom() {
    budget.tryReserve(16_000_000);
    AnswerRoom growing = new AnswerRoom(budgets);
    assertThat(reservePart(growing, 8_000, "growing")).isTrue();
    assertThat(reservePart(growing, FIRST_READ_BYTES, "growing")).isFalse();
    budget.release(16_000_000);
    assertThat(resumed).containsExactly("growing");
    growing.release();
    assertThat(budget.usedBytes() + budgets.smallUsedBytes()).isZero();
  }

  private boolean reservePart(AnswerRoom room, long receivedBytes, String name) {
    return room.reserve(
        receivedBytes,
        AnswerRoom.UNKNOWN_BYTES,
        Exchange.MAX_RESPONSE_BYTES,
        () -> resumed.add(name));
  }

  private boolean reserve(AnswerRoom room, String name) {
    return reserve(room, name, LARGE_BYTES);
  }

  private boolean reserve(AnswerRoom room, String name, long statedBytes) {
    return room.reserve(
        FIRST_READ_BYTES, statedBytes, Exchange.MAX_RESPONSE_BYTES, () -> resumed.add(name));
  }
}
