package org.teaseltrail.core.replication;

import java.util.ArrayList;
import java.util.Collections;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.OptionalLong;
import java.util.TreeMap;
import org.teaseltrail.core.id.MemberId;

/**
 * Tracks the leader's lease. The lease starts when the leader sends a heartbeat round and is
 * granted by a quorum's replies to that round; see {@link LeaseVotePolicy}.
 */
final class LeaderLease {

  private static final int RETAINED_LEASE_PERIODS = 10;

  private final ReplicaContext context;
  private final long electedNs;
  private final TreeMap<Long, Long> sentNsByRound = new TreeMap<>();
  private final Map<MemberId, Long> repliedSendNsByMember = new HashMap<>();
  private long newestRound;
  private boolean released;

  LeaderLease(ReplicaContext context, long electedNs) {
    this.context = context;
    this.electedNs = electedNs;
  }

  long newestRound() {
    return newestRound;
  }

  /** Starts a heartbeat round; messages sent from now on carry its number. */
  long startRound(long nowNs) {
    newestRound++;
    sentNsByRound.put(newestRound, nowNs);
    long retainedSinceNs = nowNs - RETAINED_LEASE_PERIODS * context.settings.leaseNs();
    while (sentNsByRound.firstEntry().getValue() < retainedSinceNs) {
      sentNsByRound.pollFirstEntry();
    }
    return newestRound;
  }

  void onReply(MemberId from, long round) {
    Long sendNs = sentNsByRound.get(round);
    if (sendNs != null) {
      repliedSendNsByMember.merge(from, sendNs, Math::max);
    }
  }

  OptionalLong repliedSendNs(MemberId member) {
    Long sendNs = repliedSendNsByMember.get(member);
    return sendNs == null ? OptionalLong.empty() : OptionalLong.of(sendNs);
  }

  boolean hasRepliedSince(MemberId member, long sinceNs) {
    return repliedSendNsByMember.containsKey(member)
        && repliedSendNsByMember.get(member) >= sinceNs;
  }

  /**
   * Releases the lease for the rest of the term, so that a successor needn't wait for its expiry.
   */
  void release() {
    released = true;
  }

  boolean isReleased() {
    return released;
  }

  boolean isValid(long nowNs) {
    if (released) {
      return false;
    }
    long quorumNs = quorumRepliedSendNs(Long.MIN_VALUE, nowNs);
    return quorumNs != Long.MIN_VALUE && nowNs - quorumNs < context.settings.leaderLeaseNs();
  }

  /**
   * Returns when the last message was sent to which a quorum has replied, or the time of the
   * election if that is later.
   */
  long lastQuorumContactNs(long nowNs) {
    return quorumRepliedSendNs(electedNs, nowNs);
  }

  private long quorumRepliedSendNs(long noReplyNs, long nowNs) {
    Membership members = context.members.latest();
    List<Long> sendNs = new ArrayList<>();
    for (Member voter : members.voters()) {
      boolean isSelf = voter.id().equals(context.self);
      sendNs.add(isSelf ? nowNs : repliedSendNsByMember.getOrDefault(voter.id(), noReplyNs));
    }
    sendNs.sort(Collections.reverseOrder());
    return sendNs.get(members.quorumCount() - 1);
  }
}
