package org.teaseltrail.core.message;

import java.util.Optional;
import org.teaseltrail.core.configuration.Configuration;
import org.teaseltrail.core.id.FencingNumber;
import org.teaseltrail.core.id.Incarnation;
import org.teaseltrail.core.id.MemberId;
import org.teaseltrail.core.id.RequestId;
import org.teaseltrail.core.id.Revision;
import org.teaseltrail.core.id.UpstreamId;
import org.teaseltrail.core.serving.ServingReply;
import org.teaseltrail.core.upstream.SocketAddress;

/** Message from a control member to an entry VM. */
public sealed interface ControlMessage {

  /**
   * Reply to a hello from a member that is not the leader.
   *
   * @param member the member that replies
   * @param leader the leader, if the member knows it
   * @param sequence sequence number of the hello
   */
  record NotLeader(MemberId member, Optional<MemberId> leader, long sequence)
      implements ControlMessage {}

  /**
   * Reply to a hello from the leader while its lease is valid; renews the session of the VM.
   *
   * @param member the member that replies
   * @param fencing fencing number of its leadership
   * @param revision revision of the accepted configuration
   * @param sessionLifetimeMs lifetime of the session from the time the hello was sent
   * @param reportsWanted whether the VM must report its waiting and running requests, followed by
   *     {@link EntryMessage.ReportsComplete}
   * @param sequence sequence number of the hello
   * @param quarantine the suspect and the quarantined requests, while there are any or the VM knows
   *     of any
   * @param trial a quarantined request that the VM may send to one upstream once
   */
  record Welcome(
      MemberId member,
      FencingNumber fencing,
      Revision revision,
      long sessionLifetimeMs,
      boolean reportsWanted,
      long sequence,
      Optional<ServingReply.QuarantineUpdate> quarantine,
      Optional<ServingReply.Trial> trial)
      implements ControlMessage {

    /**
     * Creates a reply that names no suspect requests.
     *
     * @param member the member that replies
     * @param fencing fencing number of its leadership
     * @param revision revision of the accepted configuration
     * @param sessionLifetimeMs lifetime of the session from the time the hello was sent
     * @param reportsWanted whether the VM must report its requests
     * @param sequence sequence number of the hello
     */
    public Welcome(
        MemberId member,
        FencingNumber fencing,
        Revision revision,
        long sessionLifetimeMs,
        boolean reportsWanted,
        long sequence) {
      this(
          member,
          fencing,
          revision,
          sessionLifetimeMs,
          reportsWanted,
          sequence,
          Optional.empty(),
          Optional.empty());
    }
  }

  /**
   * Accepted configuration, confirmed by a quorum.
   *
   * @param fencing fencing number of the leadership that confirmed it
   * @param configuration the complete configuration
   */
  record ConfigurationUpdate(FencingNumber fencing, Configuration configuration)
      implements ControlMessage {}

  /**
   * Grants a request an upstream. The VM dispatches the request immediately or declines the grant.
   *
   * @param request the request
   * @param upstream the upstream
   * @param upstreamIncarnation the incarnation of the upstream that the grant is for
   * @param address the address at which the upstream accepts requests
   * @param fencing fencing number of the leadership that issues the grant
   */
  record Grant(
      RequestId request,
      UpstreamId upstream,
      Incarnation upstreamIncarnation,
      SocketAddress address,
      FencingNumber fencing)
      implements ControlMessage {}

  /**
   * Recalls a grant that may not have reached the VM. The VM declines the grant unless it has
   * dispatched the request.
   *
   * @param request the request
   * @param upstream the upstream of the grant, which no longer accepts requests
   * @param fencing fencing number of the leadership that issued the grant
   */
  record Recall(RequestId request, UpstreamId upstream, FencingNumber fencing)
      implements ControlMessage {}

  /**
   * Refuses a waiting request, which was not executed.
   *
   * @param request the request
   * @param kind the reason
   * @param retryAfterMs time after which the caller can retry
   */
  record Refused(RequestId request, RefusalKind kind, long retryAfterMs)
      implements ControlMessage {}

  /**
   * Reports that an earlier request holds the idempotency key of a request, which was not executed
   * and is no longer waiting.
   *
   * @param request the request
   * @param holder the earlier request
   * @param state the claim state of the earlier request
   * @param upstream the upstream that executes or executed it
   * @param address the address at which that upstream accepts requests, if it still sends
   *     announcements
   */
  record ClaimExists(
      RequestId request,
      RequestId holder,
      ClaimState state,
      Optional<UpstreamId> upstream,
      Optional<SocketAddress> address)
      implements ControlMessage {}
}
