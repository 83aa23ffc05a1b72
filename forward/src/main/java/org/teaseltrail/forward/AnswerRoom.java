package org.teaseltrail.forward;

/**
 * The shares of the process's budgets for answers that the answer of one request takes.
 *
 * <p>Guards against answers that together take more memory than the process has. An answer without
 * room isn't read further, so that its upstream is held back by its own transport. Small answers
 * have a budget of their own, so that they don't wait for large ones.
 */
final class AnswerRoom {

  /** The budgets of a process. */
  record Budgets(BodyBudget small, BodyBudget large) {}

  /** Length of an answer that doesn't state one. */
  static final long UNKNOWN_BYTES = -1;

  /** What is held of each answer without room: about one read. */
  private static final int FREE_BYTES = 4 * 1024;

  private static final int SMALL_BYTES = 64 * 1024;

  private final RoomShare small;
  private final RoomShare large;

  AnswerRoom(Budgets budgets) {
    small = new RoomShare(budgets.small());
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
    return small.reserve(Math.min(expectedBytes, SMALL_BYTES), whenReserved);
  }

  /** Returns whether there is room that isn't needed any more once its bytes are written. */
  boolean canBeHandedOver() {
    boolean isWaiting = small.isWaiting() || large.isWaiting();
    return !isWaiting && (small.isReserved() || large.isReserved());
  }

  /** Gives the room back, or the place among those who wait for it. */
  void release() {
    small.release();
    large.release();
  }
}
