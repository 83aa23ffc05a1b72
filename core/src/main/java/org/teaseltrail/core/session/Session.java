package org.teaseltrail.core.session;

import org.teaseltrail.core.id.DataCenterId;
import org.teaseltrail.core.id.Incarnation;
import org.teaseltrail.core.id.Revision;
import org.teaseltrail.core.id.VmId;
import org.teaseltrail.core.message.EntryMessage.Hello;

/** Session of one incarnation of an entry VM. */
public final class Session {

  private final VmId vm;
  private final Incarnation incarnation;
  private final DataCenterId dataCenter;
  private Revision appliedRevision;
  private long expiresAtNs;
  private long helloAtNs;
  private boolean lagging;
  private long laggingSinceNs;
  private long pushedAtNs;
  private Revision pushedRevision;
  private boolean reported;

  Session(Hello hello, long expiresAtNs) {
    vm = hello.vm();
    incarnation = hello.incarnation();
    dataCenter = hello.dataCenter();
    appliedRevision = hello.appliedRevision();
    pushedRevision = new Revision(0);
    this.expiresAtNs = expiresAtNs;
  }

  /** Returns the VM. */
  public VmId vm() {
    return vm;
  }

  /** Returns the incarnation of the VM's process. */
  public Incarnation incarnation() {
    return incarnation;
  }

  /** Returns the data centre of the VM. */
  public DataCenterId dataCenter() {
    return dataCenter;
  }

  /** Returns the newest configuration revision that the VM has reported as applied. */
  public Revision appliedRevision() {
    return appliedRevision;
  }

  /** Returns whether the VM has reported all its waiting and running requests to this leader. */
  public boolean hasReported() {
    return reported;
  }

  /** Records that the VM has reported all its waiting and running requests. */
  public void markReportsComplete() {
    reported = true;
  }

  /** Returns whether the VM has applied the revision or a newer one. */
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

  /** Returns the monotonic time at which the session expires, in nanoseconds. */
  long expiresAtNs() {
    return expiresAtNs;
  }

  /**
   * Records the revision that the VM applies.
   *
   * @param applied the revision in the hello; a lower one, from a delayed hello, is ignored
   */
  void apply(Revision applied) {
    if (applied.compareTo(appliedRevision) > 0) {
      appliedRevision = applied;
    }
  }

  void renew(long newExpiresAtNs) {
    expiresAtNs = newExpiresAtNs;
  }

  /**
   * Returns how long the VM has been applying an older configuration than the accepted one.
   *
   * @param accepted the accepted revision
   * @param nowNs monotonic time
   * @return nanoseconds since the lag was first observed; zero if the accepted one is applied
   */
  long lagNs(Revision accepted, long nowNs) {
    boolean wasLagging = lagging;
    lagging = !hasApplied(accepted);
    if (!lagging) {
      return 0;
    }
    if (!wasLagging) {
      laggingSinceNs = nowNs;
    }
    return nowNs - laggingSinceNs;
  }

  /** Copies the configuration lag of the expired session of the same incarnation. */
  void inheritLag(Session expired) {
    lagging = expired.lagging;
    laggingSinceNs = expired.laggingSinceNs;
    pushedRevision = expired.pushedRevision;
    pushedAtNs = expired.pushedAtNs;
  }

  boolean isLagging() {
    return lagging;
  }

  boolean needsPush(Revision accepted, long nowNs, long retryNs) {
    boolean pushedRecently = pushedRevision.equals(accepted) && nowNs - pushedAtNs < retryNs;
    return !hasApplied(accepted) && !pushedRecently;
  }

  void markPushed(Revision accepted, long nowNs) {
    pushedRevision = accepted;
    pushedAtNs = nowNs;
  }
}
