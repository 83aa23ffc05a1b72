package org.teaseltrail.forward;

/**
 * The share of the process's budget for answers that the answer of one request takes.
 *
 * <p>Guards against answers that together take more memory than the process has. An answer without
 * room isn't read further, so that its upstream is held back by its own transport.
 */
final class AnswerRoom implements BodyBudget.Waiter {

  /** Answers up to this size need no room, so that small ones never wait. */
  private static final int FREE_BYTES = 64 * 1024;

  private final BodyBudget budget;
  private Runnable onRoom = () -> {};
  private long neededBytes;
  private boolean reserved;
  private boolean waiting;

  AnswerRoom(BodyBudget budget) {
    this.budget = budget;
  }

  /**
   * Reserves room for an answer once it is too large to need none.
   *
   * @param receivedBytes the bytes of it that have been received
   * @param expectedBytes its length as its upstream states it, or the greatest that it may have
   * @param whenReserved called once there is room, if there is none at once
   * @return false if the answer must wait for room
   */
  boolean reserve(long receivedBytes, long expectedBytes, Runnable whenReserved) {
    if (receivedBytes <= FREE_BYTES || reserved || waiting) {
      return !waiting;
    }
    neededBytes = Math.min(expectedBytes, Exchange.MAX_RESPONSE_BYTES);
    reserved = budget.tryReserve(neededBytes);
    if (!reserved) {
      waiting = true;
      onRoom = whenReserved;
      budget.await(this);
    }
    return reserved;
  }

  /** Gives the room back, or the place among those who wait for it. */
  void release() {
    if (waiting) {
      waiting = false;
      budget.cancel(this);
    } else if (reserved) {
      reserved = false;
      budget.release(neededBytes);
    }
  }

  @Override
  public long neededBytes() {
    return neededBytes;
  }

  @Override
  public void onReserved() {
    waiting = false;
    reserved = true;
    onRoom.run();
  }
}
