package org.teaseltrail.forward;

/** What one answer holds of a budget, or waits for. */
final class RoomShare implements BodyBudget.Waiter {

  private final BodyBudget budget;
  private Runnable onRoom = () -> {};
  private long neededBytes;
  private boolean reserved;
  private boolean waiting;

  RoomShare(BodyBudget budget) {
    this.budget = budget;
  }

  /**
   * Reserves a share, unless there is one already.
   *
   * @param bytes the size of the share
   * @param whenReserved called once there is room, if there is none at once
   * @return false if there is no room yet
   */
  boolean reserve(long bytes, Runnable whenReserved) {
    if (reserved || waiting) {
      return reserved;
    }
    neededBytes = bytes;
    reserved = budget.tryReserve(bytes);
    if (!reserved) {
      waiting = true;
      onRoom = whenReserved;
      budget.await(this);
    }
    return reserved;
  }

  boolean isReserved() {
    return reserved;
  }

  boolean isWaiting() {
    return waiting;
  }

  /** Gives the share back, or the place among those who wait for one. */
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
