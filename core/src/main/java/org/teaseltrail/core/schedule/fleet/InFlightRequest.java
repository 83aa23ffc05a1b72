package org.teaseltrail.core.schedule.fleet;

import org.teaseltrail.core.id.RequestId;
import org.teaseltrail.core.id.UpstreamId;
import org.teaseltrail.core.id.VmId;
import org.teaseltrail.core.message.Ticket;
import org.teaseltrail.core.schedule.ticket.TrackedTicket;
import org.teaseltrail.core.upstream.Announcement;

/** A request that is in flight on an upstream, from its grant to its end. */
public final class InFlightRequest {

  /** Expiry time of a VM session that has not expired. */
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

  /** Returns the ticket as the VM offered it. */
  public Ticket ticket() {
    return trackedTicket.ticket();
  }

  /** Returns the id of the request. */
  public RequestId request() {
    return trackedTicket.request();
  }

  /** Returns the VM that dispatches the request. */
  public VmId vm() {
    return trackedTicket.vm();
  }

  /** Returns the upstream on which the request is in flight. */
  public TrackedUpstream upstream() {
    return upstream;
  }

  /**
   * Returns the upstream's announcement at the time of the grant; null if the request was granted
   * by an earlier scheduler.
   */
  public Announcement announcement() {
    return announcement;
  }

  /** Returns the id of the upstream. */
  public UpstreamId upstreamId() {
    return upstream.id();
  }

  /** Returns when the request was granted, in monotonic nanoseconds. */
  public long grantedNs() {
    return grantedNs;
  }

  /** Returns the prompt tokens that were expected to be in the prefix cache. */
  public int cachedTokens() {
    return cachedTokens;
  }

  /** Returns the prompt tokens that the engine was expected to process. */
  public int prefillTokens() {
    return prefillTokens;
  }

  /** Returns the prompt tokens that were queued on the engine ahead of it when it was granted. */
  public long prefillAheadTokens() {
    return prefillAheadTokens;
  }

  /** Returns the maximum number of tokens that the request may occupy on the engine. */
  public long footprintTokens() {
    return trackedTicket.footprintTokens();
  }

  /** Returns whether a message of its VM has confirmed the dispatch. */
  public boolean isDispatchConfirmed() {
    return dispatchConfirmed;
  }

  /** Returns the time from dispatch to the first token, in milliseconds; zero if not known. */
  public double firstTokenMs() {
    return firstTokenMs;
  }

  /** Returns the number of output tokens reported so far. */
  public int outputTokens() {
    return outputTokens;
  }

  /** Returns when the number of tokens last grew, in monotonic nanoseconds; zero if never. */
  public long progressNs() {
    return progressNs;
  }

  /** Returns when the last message about the request was received, in monotonic nanoseconds. */
  public long heardNs() {
    return heardNs;
  }

  /** Returns whether its VM's session has expired with no message about the request since. */
  public boolean isVmSessionExpired() {
    return vmSessionExpiredNs != VM_SESSION_VALID;
  }

  /** Returns when its VM's session expired, in monotonic nanoseconds. */
  public long vmSessionExpiredNs() {
    return vmSessionExpiredNs;
  }

  /** Records that its VM's session has expired. */
  public void markVmSessionExpired(long nowNs) {
    vmSessionExpiredNs = nowNs;
  }

  /** Records that its VM has offered the ticket again: it has a session and the request waits. */
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
