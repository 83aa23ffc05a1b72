package org.teaseltrail.core.message;

import java.util.Optional;
import org.teaseltrail.core.configuration.Configuration;
import org.teaseltrail.core.id.FencingNumber;
import org.teaseltrail.core.id.Incarnation;
import org.teaseltrail.core.id.MemberId;
import org.teaseltrail.core.id.RequestId;
import org.teaseltrail.core.id.Revision;
import org.teaseltrail.core.id.UpstreamId;
import org.teaseltrail.core.upstream.SocketAddress;

/** Is a message from a control member to an entry VM. */
public sealed interface ControlMessage {

  /**
   * Answers a hello: the member is not the leader.
   *
   * @param member who answers
   * @param leader the leader it knows
   * @param sequence the hello's
   */
  record NotLeader(MemberId member, Optional<MemberId> leader, long sequence)
      implements ControlMessage {}

  /**
   * Answers a hello: the member leads and its lease holds.
   *
   * @param member who answers
   * @param fencing its leadership
   * @param revision the accepted configuration
   * @param sessionLifetimeMs how long the session lasts from the hello's sending
   * @param reportsWanted whether the VM must tell of its waiting and running requests and end with
   *     reports complete
   * @param sequence the hello's
   */
  record Welcome(
      MemberId member,
      FencingNumber fencing,
      Revision revision,
      long sessionLifetimeMs,
      boolean reportsWanted,
      long sequence)
      implements ControlMessage {}

  /**
   * Carries the accepted configuration, confirmed by a quorum.
   *
   * @param fencing the leadership that confirmed it
   * @param configuration the whole configuration
   */
  record ConfigurationUpdate(FencingNumber fencing, Configuration configuration)
      implements ControlMessage {}

  /**
   * Gives a request its upstream. The VM dispatches at once or declines.
   *
   * @param request the request
   * @param upstream the upstream
   * @param upstreamIncarnation the upstream's life that is meant
   * @param address where it takes requests
   * @param fencing the leadership that grants
   */
  record Grant(
      RequestId request,
      UpstreamId upstream,
      Incarnation upstreamIncarnation,
      SocketAddress address,
      FencingNumber fencing)
      implements ControlMessage {}

  /**
   * Takes a grant back that may have been lost on its way. The VM declines it unless it has
   * dispatched the request.
   *
   * @param request the request
   * @param upstream the upstream of the grant, which serves no longer
   * @param fencing the leadership that granted
   */
  record Recall(RequestId request, UpstreamId upstream, FencingNumber fencing)
      implements ControlMessage {}

  /**
   * Tells that a waiting request is given up; it did not run.
   *
   * @param request the request
   * @param kind why
   * @param retryAfterMs when the caller may come back
   */
  record Refused(RequestId request, RefusalKind kind, long retryAfterMs)
      implements ControlMessage {}

  /**
   * Tells that an earlier request holds the key of this one, which did not run and no longer waits.
   *
   * @param request the request
   * @param holder the earlier request
   * @param state how far it has come
   * @param upstream where it runs or ran
   * @param address where that upstream takes requests, if it still announces itself
   */
  record ClaimExists(
      RequestId request,
      RequestId holder,
      ClaimState state,
      Optional<UpstreamId> upstream,
      Optional<SocketAddress> address)
      implements ControlMessage {}
}
