package org.teaseltrail.core.message;

import org.teaseltrail.core.id.DataCenterId;
import org.teaseltrail.core.id.FencingNumber;
import org.teaseltrail.core.id.Incarnation;
import org.teaseltrail.core.id.RequestId;
import org.teaseltrail.core.id.Revision;
import org.teaseltrail.core.id.UpstreamId;
import org.teaseltrail.core.id.VmId;
import org.teaseltrail.core.upstream.Announcement;
import org.teaseltrail.core.upstream.CacheEvent;

/** Is a message from an entry VM to a control member. */
public sealed interface EntryMessage {

  /**
   * Opens or renews the VM's session; sent to every member several times within a session's
   * lifetime.
   *
   * @param vm the entry VM
   * @param incarnation which life of its process
   * @param dataCenter where the VM stands
   * @param appliedRevision the configuration in force there
   * @param sequence grows with each hello; the answer carries it back
   */
  record Hello(
      VmId vm,
      Incarnation incarnation,
      DataCenterId dataCenter,
      Revision appliedRevision,
      long sequence)
      implements EntryMessage {}

  /**
   * Offers a waiting request to its pool's scheduler. Idempotent: an offer of a known ticket
   * changes nothing.
   *
   * @param ticket the request's ticket
   */
  record Offer(Ticket ticket) implements EntryMessage {}

  /**
   * Takes a ticket back.
   *
   * @param request the request
   * @param reason why
   */
  record Withdraw(RequestId request, WithdrawReason reason) implements EntryMessage {}

  /**
   * Gives a grant back; the request did not run and still waits unless it is unknown.
   *
   * @param request the request
   * @param upstream the upstream
   * @param reason why
   */
  record Declined(RequestId request, UpstreamId upstream, DeclineReason reason)
      implements EntryMessage {}

  /**
   * Tells that the upstream's first token has arrived.
   *
   * @param request the request
   * @param upstream the upstream
   * @param sinceDispatchMs time since the dispatch
   */
  record FirstToken(RequestId request, UpstreamId upstream, long sinceDispatchMs)
      implements EntryMessage {}

  /**
   * Tells how many tokens have arrived so far.
   *
   * @param request the request
   * @param upstream the upstream
   * @param outputTokens tokens so far
   */
  record Progress(RequestId request, UpstreamId upstream, int outputTokens)
      implements EntryMessage {}

  /**
   * Tells that a dispatched request has ended. Sent again until the leader that answers has seen
   * it.
   *
   * @param request the request
   * @param upstream the upstream
   * @param kind how
   * @param usage the work done, as far as known
   * @param sinceDispatchMs time since the dispatch; zero if it is no longer known
   */
  record Ended(
      RequestId request, UpstreamId upstream, EndKind kind, Usage usage, long sinceDispatchMs)
      implements EntryMessage {

    /** Stands for a time since the dispatch that is no longer known. */
    public static final long UNKNOWN_DURATION_MS = 0;

    /** Returns whether the time since the dispatch is known. */
    public boolean hasKnownDuration() {
      return sinceDispatchMs > UNKNOWN_DURATION_MS;
    }
  }

  /**
   * Tells a new leader of a request that was dispatched under an older one.
   *
   * @param ticket its ticket
   * @param upstream the upstream
   * @param outputTokens tokens so far
   * @param sinceDispatchMs time since the dispatch
   */
  record StillRunning(Ticket ticket, UpstreamId upstream, int outputTokens, long sinceDispatchMs)
      implements EntryMessage {}

  /**
   * Tells that the VM has told a new leader of all that waits and runs there.
   *
   * @param vm the entry VM
   * @param fencing the leadership it was told to
   */
  record ReportsComplete(VmId vm, FencingNumber fencing) implements EntryMessage {}

  /**
   * Passes on an upstream's announcement, its secret checked.
   *
   * @param announcement the announcement
   * @param heardMs how long ago the VM heard it
   */
  record UpstreamSeen(Announcement announcement, long heardMs) implements EntryMessage {}

  /**
   * Passes on an engine's cache event.
   *
   * @param event the event
   */
  record CacheSeen(CacheEvent event) implements EntryMessage {}
}
