package org.teaseltrail.forward;

import java.util.stream.Stream;

/**
 * The shares of the process's budgets for answers that the answer of one request takes.
 *
 * <p>Guards against answers that together take more memory than the process has. An answer without
 * room isn't read further, so that its upstream is held back by its own transport. Small answers
 * have a budget of their own, so that they don't wait for large ones, nor for those without a
 * length that grow large and keep their share while they wait for more.
 */
final class AnswerRoom {

  /**
   * The budgets of a process.
   *
   * @param small for answers that state a small length
   * @param growing for answers without a length, and for events, until they are no longer small
   * @param large for all other answers
   */
  record Budgets(BodyBudget small, BodyBudget growing, BodyBudget large) {

    /** Returns the bytes that small answers take, with and without a length. */
    long smallUsedBytes() {
      return small.usedBytes() + growing.usedBytes();
    }
  }

  /** Length of an answer that doesn't state one. */
  static final long UNKNOWN_BYTES = -1;

  /** What is held of each answer without room: about one read. */
  private static final int FREE_BYTES = 4 * 1024;

  private static final int SMALL_BYTES = 64 * 1024;

  private final RoomShare small;
  private final RoomShare growing;
  private final RoomShare large;

  AnswerRoom(Budgets budgets) {
    small = new RoomShare(budgets.small());
    growing = new RoomShare(budgets.growing());
    large = new RoomShare(budgets.large());
  }

  /**
   * Reserves room for an answer, or a part of one, once it is too large to need none.
   *
   * @param receivedBytes the bytes of it that have been received
   * @param statedBytes its length as its upstream states it, or {@link #UNKNOWN_BYTES}
   * @param maxBytes the greatest length that it may have
   * @param whenReserved called once there is room, if there is none at once
   * @return false if the answer must wait for room
   */
  boolean reserve(long receivedBytes, long statedBytes, long maxBytes, Runnable whenReserved) {
    if (receivedBytes <= FREE_BYTES) {
      return true;
    }
    boolean isUnknown = statedBytes == UNKNOWN_BYTES;
    long expectedBytes = isUnknown ? maxBytes : Math.min(statedBytes, maxBytes);
    if (receivedBytes > SMALL_BYTES || (!isUnknown && expectedBytes > SMALL_BYTES)) {
      return large.reserve(expectedBytes, whenReserved);
    }
    RoomShare share = isUnknown ? growing : small;
    return share.reserve(Math.min(expectedBytes, SMALL_BYTES), whenReserved);
  }

  /** Returns whether there is room that isn't needed any more once its bytes are written. */
  boolean canBeHandedOver() {
    return shares().noneMatch(RoomShare::isWaiting) && shares().anyMatch(RoomShare::isReserved);
  }

  /** Gives the room back, or the place among those who wait for it. */
  void release() {
    shares().forEach(RoomShare::release);
  }

  private Stream<RoomShare> shares() {
    return Stream.of(small, growing, large);
  }
}
