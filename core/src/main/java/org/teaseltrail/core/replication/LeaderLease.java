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
 * Knows since when a quorum has answered a leader. The lease counts from the sending of the newest
 * round that a quorum has answered, see {@link VoteGuard}.
 */
final class LeaderLease {

  private static final int KEPT_LEASES = 10;

  private final ReplicaContext context;
  private final long electedNs;
  private final TreeMap<Long, Long> sentNsByRound = new TreeMap<>();
  private final Map<MemberId, Long> answeredSentNs = new HashMap<>();
  private long newestRound;
  private boolean givenUp;

  LeaderLease(ReplicaContext context, long electedNs) {
    this.context = context;
    this.electedNs = electedNs;
  }

  long newestRound() {
    return newestRound;
  }

  /** Begins a round; what is sent from now on carries its number. */
  long beginRound(long nowNs) {
    newestRound++;
    sentNsByRound.put(newestRound, nowNs);
    long forgottenNs = nowNs - KEPT_LEASES * context.settings.leaseNs();
    while (sentNsByRound.firstEntry().getValue() < forgottenNs) {
      sentNsByRound.pollFirstEntry();
    }
    return newestRound;
  }

  void answered(MemberId from, long round) {
    Long sentNs = sentNsByRound.get(round);
    if (sentNs != null) {
      answeredSentNs.merge(from, sentNs, Math::max);
    }
  }

  OptionalLong answeredNs(MemberId member) {
    Long sentNs = answeredSentNs.get(member);
    return sentNs == null ? OptionalLong.empty() : OptionalLong.of(sentNs);
  }

  boolean hasAnsweredSince(MemberId member, long sinceNs) {
    return answeredSentNs.containsKey(member) && answeredSentNs.get(member) >= sinceNs;
  }

  /** Gives the lease up for the rest of the term, so that a successor need not wait it out. */
  void giveUp() {
    givenUp = true;
  }

  boolean isGivenUp() {
    return givenUp;
  }

  boolean holds(long nowNs) {
    if (givenUp) {
      return false;
    }
    long quorumNs = quorumAnsweredNs(Long.MIN_VALUE, nowNs);
    return quorumNs != Long.MIN_VALUE && nowNs - quorumNs < context.settings.leaderLeaseNs();
  }

  /** Returns since when no quorum has been heard, counted from the election at the earliest. */
  long quorumHeardNs(long nowNs) {
    return quorumAnsweredNs(electedNs, nowNs);
  }

  private long quorumAnsweredNs(long unansweredNs, long nowNs) {
    Membership members = context.members.latest();
    List<Long> sentNs = new ArrayList<>();
    for (Member voter : members.voters()) {
      boolean isSelf = voter.id().equals(context.self);
      sentNs.add(isSelf ? nowNs : answeredSentNs.getOrDefault(voter.id(), unansweredNs));
    }
    sentNs.sort(Collections.reverseOrder());
    return sentNs.get(members.quorumCount() - 1);
  }
}
