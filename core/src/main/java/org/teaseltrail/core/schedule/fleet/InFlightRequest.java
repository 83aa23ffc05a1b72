package org.teaseltrail.core.schedule.fleet;

import org.teaseltrail.core.id.RequestId;
import org.teaseltrail.core.id.UpstreamId;
import org.teaseltrail.core.id.VmId;
import org.teaseltrail.core.message.Ticket;
import org.teaseltrail.core.schedule.ticket.TrackedTicket;
import org.teaseltrail.core.upstream.Announcement;

/** Is one request's part of an upstream's work in flight, from the grant to the end. */
public final class InFlightRequest {

  /** Stands for a VM that has not lapsed. */
  private static final long VM_SESSION_VALID = Long.MIN_VALUE;

  private final TrackedTicket trackedTicket;
  private final TrackedUpstream upstream;
  private final Announcement announcement;
  private final long grantedNs;
  private final int cachedTokens;
  private final int prefillTokens;
  private final long prefillAheadTokens;
  private boolean dispatchConfirmed;
  private double firstTokenMs;
  private int outputTokens;
  private long progressNs;
  private long heardNs;
  private long vmSessionExpiredNs = VM_SESSION_VALID;

  InFlightRequest(
      TrackedTicket tracked, TrackedUpstream upstream, int cachedTokens, long grantedNs) {
    this.trackedTicket = tracked;
    this.upstream = upstream;
    this.announcement = upstream.announcement();
    this.cachedTokens = cachedTokens;
    this.prefillTokens = Math.max(1, tracked.ticket().promptTokens() - cachedTokens);
    this.prefillAheadTokens = upstream.prefillTokens();
    this.grantedNs = grantedNs;
    this.heardNs = grantedNs;
  }

  /** Returns the ticket that was granted. */
  public TrackedTicket trackedTicket() {
    return trackedTicket;
  }

  /** Returns what the VM offered. */
  public Ticket ticket() {
    return trackedTicket.ticket();
  }

  /** Returns the request in flight. */
  public RequestId request() {
    return trackedTicket.request();
  }

  /** Returns the VM that dispatches it. */
  public VmId vm() {
    return trackedTicket.vm();
  }

  /** Returns the account it is part of. */
  public TrackedUpstream upstream() {
    return upstream;
  }

  /**
   * Returns the announcement it was granted under; null if it was granted by an older scheduler.
   */
  public Announcement announcement() {
    return announcement;
  }

  /** Returns the name of the upstream. */
  public UpstreamId upstreamId() {
    return upstream.id();
  }

  /** Returns when it was granted, in monotonic nanoseconds. */
  public long grantedNs() {
    return grantedNs;
  }

  /** Returns the prompt tokens that the prefix cache was expected to save. */
  public int cachedTokens() {
    return cachedTokens;
  }

  /** Returns the prompt tokens that the engine was expected to process. */
  public int prefillTokens() {
    return prefillTokens;
  }

  /** Returns the prompt tokens that were to be processed before its own when it was granted. */
  public long prefillAheadTokens() {
    return prefillAheadTokens;
  }

  /** Returns the tokens it may come to hold on the engine. */
  public long footprintTokens() {
    return trackedTicket.footprintTokens();
  }

  /** Returns whether its VM has said anything that proves the dispatch. */
  public boolean isDispatchConfirmed() {
    return dispatchConfirmed;
  }

  /** Returns the time from dispatch to first token, in milliseconds; zero if not known. */
  public double firstTokenMs() {
    return firstTokenMs;
  }

  /** Returns the tokens that have arrived. */
  public int outputTokens() {
    return outputTokens;
  }

  /** Returns when the tokens were last counted, in monotonic nanoseconds; zero if never. */
  public long progressNs() {
    return progressNs;
  }

  /** Returns when its VM last spoke of it, in monotonic nanoseconds. */
  public long heardNs() {
    return heardNs;
  }

  /** Returns whether its VM has lapsed and not spoken of it since. */
  public boolean isVmSessionExpired() {
    return vmSessionExpiredNs != VM_SESSION_VALID;
  }

  /** Returns when its VM lapsed, in monotonic nanoseconds. */
  public long vmSessionExpiredNs() {
    return vmSessionExpiredNs;
  }

  /** Notes that its VM has lapsed. */
  public void markVmSessionExpired(long nowNs) {
    vmSessionExpiredNs = nowNs;
  }

  /** Notes that its VM is back and still has the request waiting. */
  public void onOfferedAgain(long nowNs) {
    vmSessionExpiredNs = VM_SESSION_VALID;
    heardNs = nowNs;
  }

  void heard(long nowNs) {
    dispatchConfirmed = true;
    vmSessionExpiredNs = VM_SESSION_VALID;
    heardNs = nowNs;
  }

  void firstToken(double sinceDispatchMs, long nowNs) {
    firstTokenMs = sinceDispatchMs;
    progress(1, nowNs);
  }

  void progress(int tokens, long nowNs) {
    if (tokens > outputTokens) {
      outputTokens = tokens;
      progressNs = nowNs;
    }
  }
}
