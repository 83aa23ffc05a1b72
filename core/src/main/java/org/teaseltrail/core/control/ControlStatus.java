package org.teaseltrail.core.control;

import java.util.List;
import java.util.Optional;
import org.teaseltrail.core.id.DataCenterId;
import org.teaseltrail.core.id.MemberId;
import org.teaseltrail.core.id.PoolId;
import org.teaseltrail.core.id.Revision;
import org.teaseltrail.core.id.Tier;
import org.teaseltrail.core.id.UpstreamId;
import org.teaseltrail.core.id.VmId;
import org.teaseltrail.core.replication.Membership;
import org.teaseltrail.core.upstream.Announcement;

/**
 * Status of the control group as the leader sees it.
 *
 * @param self the member that reports
 * @param leading whether it serves as leader; if not, the lists below are empty
 * @param leader the leader it knows
 * @param term its term, the fencing number of its leadership
 * @param revision the accepted configuration
 * @param membership the member set
 * @param claims number of claims
 * @param entryVms the entry VMs with a session
 * @param pools the pools
 * @param upstreams the allowed upstreams
 */
public record ControlStatus(
    MemberId self,
    boolean leading,
    Optional<MemberId> leader,
    long term,
    Revision revision,
    Membership membership,
    int claims,
    List<EntryVmStatus> entryVms,
    List<PoolStatus> pools,
    List<UpstreamStatus> upstreams) {

  /**
   * Status of an entry VM.
   *
   * @param vm the VM
   * @param dataCenter its data centre
   * @param appliedRevision the configuration it applies
   * @param sinceHelloMs time since its last hello
   * @param reported whether it has reported all its requests to this leadership
   */
  public record EntryVmStatus(
      VmId vm,
      DataCenterId dataCenter,
      Revision appliedRevision,
      long sinceHelloMs,
      boolean reported) {}

  /**
   * Status of a pool.
   *
   * @param pool the pool
   * @param waiting waiting requests by tier, highest tier first
   * @param runningRequests requests that were granted and have not ended
   * @param canShed whether all VMs have reported, so that load may be shed
   */
  public record PoolStatus(
      PoolId pool, List<TierCount> waiting, int runningRequests, boolean canShed) {}

  /**
   * Number of requests of a tier.
   *
   * @param tier the tier
   * @param count the number of requests
   */
  public record TierCount(Tier tier, int count) {}

  /**
   * Status of an upstream.
   *
   * @param upstream the upstream
   * @param pool its pool
   * @param draining whether operators drain it
   * @param announcement its newest announcement that has not expired
   * @param runningRequests requests that were granted to it and have not ended
   */
  public record UpstreamStatus(
      UpstreamId upstream,
      PoolId pool,
      boolean draining,
      Optional<Announcement> announcement,
      int runningRequests) {}
}
