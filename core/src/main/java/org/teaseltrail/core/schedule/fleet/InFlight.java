package org.teaseltrail.core.schedule.fleet;

import org.teaseltrail.core.id.RequestId;
import org.teaseltrail.core.id.UpstreamId;
import org.teaseltrail.core.id.VmId;
import org.teaseltrail.core.message.Ticket;
import org.teaseltrail.core.schedule.ticket.TrackedTicket;

/** Is one request's part of an upstream's work in flight, from the grant to the end. */
public final class InFlight {

  private final TrackedTicket tracked;
  private final UpstreamAccount upstream;
  private final long grantedNs;
  private final int prefillTokens;
  private final int cachedTokens;
  private boolean confirmed;
  private boolean started;
  private int outputTokens;
  private long lastHeardNs;

  InFlight(TrackedTicket tracked, UpstreamAccount upstream, int cachedTokens, long grantedNs) {
    this.tracked = tracked;
    this.upstream = upstream;
    this.grantedNs = grantedNs;
    this.lastHeardNs = grantedNs;
    this.cachedTokens = cachedTokens;
    this.prefillTokens = Math.max(1, tracked.ticket().promptTokens() - cachedTokens);
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

  /** Returns the name of the upstream. */
  public UpstreamId upstreamId() {
    return upstream.id();
  }

  /** Returns when it was granted, in monotonic nanoseconds. */
  public long grantedNs() {
    return grantedNs;
  }

  /** Returns the prompt tokens that the engine was expected to process. */
  public int prefillTokens() {
    return prefillTokens;
  }

  /** Returns the prompt tokens that the prefix cache was expected to save. */
  public int cachedTokens() {
    return cachedTokens;
  }

  /** Returns the tokens it may come to hold on the engine. */
  public long footprintTokens() {
    return (long) tracked.ticket().promptTokens() + tracked.ticket().expectedOutputTokens();
  }

  /** Returns whether the VM has said anything that proves the dispatch. */
  public boolean isConfirmed() {
    return confirmed;
  }

  /** Returns whether the first token has arrived. */
  public boolean isStarted() {
    return started;
  }

  /** Returns the tokens that have arrived. */
  public int outputTokens() {
    return outputTokens;
  }

  /** Returns when the VM last spoke of it, in monotonic nanoseconds. */
  public long lastHeardNs() {
    return lastHeardNs;
  }

  void heard(long nowNs) {
    confirmed = true;
    lastHeardNs = nowNs;
  }

  void markStarted() {
    started = true;
  }

  void setOutputTokens(int outputTokens) {
    this.outputTokens = Math.max(this.outputTokens, outputTokens);
  }
}
