package org.teaseltrail.core.message;

import java.util.Optional;
import org.teaseltrail.core.id.DataCenterId;
import org.teaseltrail.core.id.FencingNumber;
import org.teaseltrail.core.id.Incarnation;
import org.teaseltrail.core.id.RequestId;
import org.teaseltrail.core.id.Revision;
import org.teaseltrail.core.id.UpstreamId;
import org.teaseltrail.core.id.VmId;
import org.teaseltrail.core.serving.ServingMessage;
import org.teaseltrail.core.upstream.Announcement;
import org.teaseltrail.core.upstream.CacheEvent;

/** Message from an entry VM to a control member. */
public sealed interface EntryMessage {

  /**
   * Opens or renews the session of the VM; sent to every member several times per session lifetime.
   *
   * @param vm the entry VM
   * @param incarnation the incarnation of its process
   * @param dataCenter the data centre of the VM
   * @param appliedRevision the configuration revision that the VM applies
   * @param sequence increases with each hello and is returned in the reply
   * @param losses the upstreams that the VM lost under requests, while it knows of suspect ones
   */
  record Hello(
      VmId vm,
      Incarnation incarnation,
      DataCenterId dataCenter,
      Revision appliedRevision,
      long sequence,
      Optional<ServingMessage.Losses> losses)
      implements EntryMessage {

    /**
     * Creates the hello of a VM that knows of no suspect requests.
     *
     * @param vm the entry VM
     * @param incarnation the incarnation of its process
     * @param dataCenter the data centre of the VM
     * @param appliedRevision the configuration revision that the VM applies
     * @param sequence increases with each hello and is returned in the reply
     */
    public Hello(
        VmId vm,
        Incarnation incarnation,
        DataCenterId dataCenter,
        Revision appliedRevision,
        long sequence) {
      this(vm, incarnation, dataCenter, appliedRevision, sequence, Optional.empty());
    }
  }

  /**
   * Offers a waiting request to the scheduler of its pool. Idempotent: the offer of a known ticket
   * is ignored.
   *
   * @param ticket the ticket of the request
   */
  record Offer(Ticket ticket) implements EntryMessage {}

  /**
   * Withdraws the ticket of a waiting request.
   *
   * @param request the request
   * @param reason the reason
   */
  record Withdraw(RequestId request, WithdrawReason reason) implements EntryMessage {}

  /**
   * Declines a grant. The request was not executed and is still waiting, unless the VM does not
   * know it.
   *
   * @param request the request
   * @param upstream the upstream
   * @param reason the reason
   */
  record Declined(RequestId request, UpstreamId upstream, DeclineReason reason)
      implements EntryMessage {}

  /**
   * Reports that the first token from the upstream has arrived.
   *
   * @param request the request
   * @param upstream the upstream
   * @param sinceDispatchMs time since the dispatch, in milliseconds
   */
  record FirstToken(RequestId request, UpstreamId upstream, long sinceDispatchMs)
      implements EntryMessage {}

  /**
   * Reports how many tokens have arrived so far.
   *
   * @param request the request
   * @param upstream the upstream
   * @param outputTokens number of tokens so far
   */
  record Progress(RequestId request, UpstreamId upstream, int outputTokens)
      implements EntryMessage {}

  /**
   * Reports that a dispatched request has ended. Resent until the leader that replies has received
   * it.
   *
   * @param request the request
   * @param upstream the upstream
   * @param kind how the request ended
   * @param usage tokens processed for the request, as far as known
   * @param sinceDispatchMs time since the dispatch, in milliseconds; zero if it is no longer known
   */
  record Ended(
      RequestId request, UpstreamId upstream, EndKind kind, Usage usage, long sinceDispatchMs)
      implements EntryMessage {

    /** Value of {@link #sinceDispatchMs} if the time since the dispatch is no longer known. */
    public static final long UNKNOWN_DURATION_MS = 0;

    /** Returns whether the time since the dispatch is known. */
    public boolean hasKnownDuration() {
      return sinceDispatchMs > UNKNOWN_DURATION_MS;
    }
  }

  /**
   * Reports to a new leader a request that was dispatched under an earlier one.
   *
   * @param ticket the ticket of the request
   * @param upstream the upstream
   * @param outputTokens number of tokens so far
   * @param sinceDispatchMs time since the dispatch, in milliseconds
   */
  record StillRunning(Ticket ticket, UpstreamId upstream, int outputTokens, long sinceDispatchMs)
      implements EntryMessage {}

  /**
   * Reports that the VM has sent all its waiting and running requests to a new leader.
   *
   * @param vm the entry VM
   * @param fencing fencing number of the leadership that the reports were sent to
   */
  record ReportsComplete(VmId vm, FencingNumber fencing) implements EntryMessage {}

  /**
   * Forwards an announcement of an upstream whose secret the VM has verified.
   *
   * @param announcement the announcement
   * @param heardMs time since the VM received it, in milliseconds
   */
  record UpstreamSeen(Announcement announcement, long heardMs) implements EntryMessage {}

  /**
   * Forwards a cache event of an engine.
   *
   * @param event the event
   */
  record CacheSeen(CacheEvent event) implements EntryMessage {}
}
