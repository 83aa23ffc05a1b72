package org.teaseltrail.core.schedule.fleet;

import org.teaseltrail.core.id.RequestId;
import org.teaseltrail.core.id.UpstreamId;
import org.teaseltrail.core.id.VmId;
import org.teaseltrail.core.message.Ticket;
import org.teaseltrail.core.schedule.ticket.TrackedTicket;
import org.teaseltrail.core.upstream.Announcement;

/** Is one request's part of an upstream's work in flight, from the grant to the end. */
public final class InFlight {

  /** Stands for a VM that has not lapsed. */
  private static final long NOT_LAPSED = Long.MIN_VALUE;

  private final TrackedTicket tracked;
  private final UpstreamAccount upstream;
  private final Announcement announcement;
  private final long grantedNs;
  private final int cachedTokens;
  private final int prefillTokens;
  private final long prefillAheadTokens;
  private boolean confirmed;
  private double firstTokenMs;
  private int outputTokens;
  private long progressNs;
  private long heardNs;
  private long lapsedNs = NOT_LAPSED;

  InFlight(TrackedTicket tracked, UpstreamAccount upstream, int cachedTokens, long grantedNs) {
    this.tracked = tracked;
    this.upstream = upstream;
    this.announcement = upstream.announcement();
    this.cachedTokens = cachedTokens;
    this.prefillTokens = Math.max(1, tracked.ticket().promptTokens() - cachedTokens);
    this.prefillAheadTokens = upstream.prefillTokens();
    this.grantedNs = grantedNs;
    this.heardNs = grantedNs;
  }

  /** Returns the ticket that was granted. */
  public TrackedTicket tracked() {
    return tracked;
  }

  /** Returns what the VM offered. */
  public Ticket ticket() {
    return tracked.ticket();
  }

  /** Returns the request in flight. */
  public RequestId request() {
    return tracked.request();
  }

  /** Returns the VM that dispatches it. */
  public VmId vm() {
    return tracked.vm();
  }

  /** Returns the account it is part of. */
  public UpstreamAccount upstream() {
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
    return tracked.footprintTokens();
  }

  /** Returns whether its VM has said anything that proves the dispatch. */
  public boolean isConfirmed() {
    return confirmed;
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
  public boolean isLapsed() {
    return lapsedNs != NOT_LAPSED;
  }

  /** Returns when its VM lapsed, in monotonic nanoseconds. */
  public long lapsedNs() {
    return lapsedNs;
  }

  /** Notes that its VM has lapsed. */
  public void lapsedAt(long nowNs) {
    lapsedNs = nowNs;
  }

  /** Notes that its VM is back and still has the request waiting. */
  public void offeredAgain(long nowNs) {
    lapsedNs = NOT_LAPSED;
    heardNs = nowNs;
  }

  void heard(long nowNs) {
    confirmed = true;
    lapsedNs = NOT_LAPSED;
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
