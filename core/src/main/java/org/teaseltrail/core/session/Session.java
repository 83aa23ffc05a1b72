package org.teaseltrail.core.session;

import org.teaseltrail.core.id.DataCenterId;
import org.teaseltrail.core.id.Incarnation;
import org.teaseltrail.core.id.Revision;
import org.teaseltrail.core.id.VmId;
import org.teaseltrail.core.message.EntryMessage.Hello;

/** Is the session of one life of an entry VM. */
public final class Session {

  private final VmId vm;
  private final Incarnation incarnation;
  private final DataCenterId dataCenter;
  private Revision appliedRevision;
  private long expiresAtNs;
  private long helloAtNs;
  private boolean behind;
  private long behindSinceNs;
  private long pushedAtNs;
  private Revision pushedRevision;
  private boolean reported;

  Session(Hello hello, long lapsesAtNs) {
    vm = hello.vm();
    incarnation = hello.incarnation();
    dataCenter = hello.dataCenter();
    appliedRevision = hello.appliedRevision();
    pushedRevision = new Revision(0);
    this.expiresAtNs = lapsesAtNs;
  }

  /** Returns the VM. */
  public VmId vm() {
    return vm;
  }

  /** Returns which life of the VM's process it is. */
  public Incarnation incarnation() {
    return incarnation;
  }

  /** Returns where the VM stands. */
  public DataCenterId dataCenter() {
    return dataCenter;
  }

  /** Returns the newest configuration that the VM has said it applies. */
  public Revision appliedRevision() {
    return appliedRevision;
  }

  /** Returns whether the VM has told this leadership of all that waits and runs there. */
  public boolean hasReported() {
    return reported;
  }

  /** Notes that the VM has told all. */
  public void markReportsComplete() {
    reported = true;
  }

  /** Returns whether the VM applies the revision or a newer one. */
  public boolean hasApplied(Revision revision) {
    return appliedRevision.compareTo(revision) >= 0;
  }

  /** Returns the time since the VM's last hello, in milliseconds. */
  public long sinceHelloMs(long nowNs) {
    return (nowNs - helloAtNs) / 1_000_000L;
  }

  void heard(long nowNs) {
    helloAtNs = nowNs;
  }

  /** Returns when the session lapses, in nanoseconds. */
  long expiresAtNs() {
    return expiresAtNs;
  }

  /**
   * Notes which revision the VM applies.
   *
   * @param applied the revision its hello tells; an older hello that comes late changes nothing
   */
  void apply(Revision applied) {
    if (applied.compareTo(appliedRevision) > 0) {
      appliedRevision = applied;
    }
  }

  void renew(long newLapsesAtNs) {
    expiresAtNs = newLapsesAtNs;
  }

  /**
   * Returns how long the VM has applied an older configuration than the accepted one.
   *
   * @param accepted the accepted revision
   * @param nowNs monotonic time
   * @return nanoseconds since this was first seen, zero if it applies the accepted one
   */
  long lagNs(Revision accepted, long nowNs) {
    boolean wasBehind = behind;
    behind = !hasApplied(accepted);
    if (!behind) {
      return 0;
    }
    if (!wasBehind) {
      behindSinceNs = nowNs;
    }
    return nowNs - behindSinceNs;
  }

  /** Goes on counting where the same life's lapsed session stopped. */
  void inheritLag(Session lapsed) {
    behind = lapsed.behind;
    behindSinceNs = lapsed.behindSinceNs;
    pushedRevision = lapsed.pushedRevision;
    pushedAtNs = lapsed.pushedAtNs;
  }

  boolean isLagging() {
    return behind;
  }

  boolean needsPush(Revision accepted, long nowNs, long repeatNs) {
    boolean pushed = pushedRevision.equals(accepted) && nowNs - pushedAtNs < repeatNs;
    return !hasApplied(accepted) && !pushed;
  }

  void markPushed(Revision accepted, long nowNs) {
    pushedRevision = accepted;
    pushedAtNs = nowNs;
  }
}
