package org.teaseltrail.core.control;

import org.teaseltrail.core.quota.QuotaUse;
import org.teaseltrail.core.quota.SlidingSum;

/** Is what one life of a VM holds of one customer's quota, as the leader counts it. */
final class QuotaLine {

  private final SlidingSum history;
  private double used;
  private double takenEver;
  private double mayTake;
  private double demandPerSecond;
  private double wanted;
  private boolean ended;

  /** Creates the line of a VM that comes forward with what it has used. */
  QuotaLine(long windowMs, QuotaUse first, long nowNs) {
    history = new SlidingSum(windowMs);
    history.add(first.used(), nowNs);
    takenEver = first.takenEver();
    told(first, nowNs);
  }

  /** Takes what the VM tells; what it took since it told last counts from now. */
  void told(QuotaUse use, long nowNs) {
    history.add(use.takenEver() - takenEver, nowNs);
    used = use.used();
    takenEver = Math.max(takenEver, use.takenEver());
    mayTake = use.allowance();
    demandPerSecond = use.demandPerSecond();
    wanted = use.wanted();
  }

  /** Allows an amount; until the VM tells again, it may go on with the one before. */
  void allow(double allowance) {
    mayTake = Math.max(mayTake, allowance);
  }

  /** Ends the VM's life: what it may have taken unheard counts from now. */
  void end(long nowNs) {
    history.add(mayTake, nowNs);
    mayTake = 0;
    ended = true;
  }

  /** Returns what was used within the window: as the VM told, or of an ended life as was noted. */
  double used(long nowNs) {
    return ended ? history.at(nowNs) : used;
  }

  double held(long nowNs) {
    return used(nowNs) + mayTake;
  }

  /** Returns what the VM may take yet. */
  double mayTake() {
    return mayTake;
  }

  double demandPerSecond() {
    return demandPerSecond;
  }

  double wanted() {
    return wanted;
  }

  long lastsNs(long nowNs) {
    return history.lastsNs(nowNs);
  }
}
