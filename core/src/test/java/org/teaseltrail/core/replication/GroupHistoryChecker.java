package org.teaseltrail.core.replication;

import static org.assertj.core.api.Assertions.assertThat;

import java.util.ArrayList;
import java.util.Collection;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import org.teaseltrail.core.id.MemberId;

/** Checks at each step that all members of a group act consistently. */
final class GroupHistoryChecker {

  private final List<LogEntry> committed = new ArrayList<>();
  private final List<Long> prefixHashes = new ArrayList<>(List.of(0L));
  private final Map<Long, MemberId> leaders = new HashMap<>();

  long committedIndex() {
    return committed.size();
  }

  int leaderships() {
    return leaders.size();
  }

  /** Records an applied entry and returns the hash of all entries up to it. */
  long applied(FakeMember member, LogEntry entry, Collection<FakeMember> all) {
    if (entry.index() <= committed.size()) {
      assertThat(entry)
          .as("entry applied by member %s", member.id())
          .isEqualTo(committed.get((int) entry.index() - 1));
    } else {
      assertThat(entry.index()).isEqualTo(committed.size() + 1L);
      committed.add(entry);
      prefixHashes.add(prefixHashes.get(committed.size() - 1) * 31 + entry.hashCode());
      checkQuorumHolds(member, entry, all);
    }
    return prefixHashes.get((int) entry.index());
  }

  void onRestored(FakeMember member, long index, long hash) {
    assertThat(hash)
        .as("snapshot restored by member %s", member.id())
        .isEqualTo(prefixHashes.get((int) index));
  }

  void onBecameLeader(FakeMember member, long term) {
    MemberId other = leaders.putIfAbsent(term, member.id());
    assertThat(other).as("another leader in term %d", term).isIn(null, member.id());
    assertThat(member.appliedIndex())
        .as("new leader %s has applied all committed entries", member.id())
        .isEqualTo(committed.size());
  }

  /** Checks that no member can be elected while a lease is valid. */
  void checkLeases(Collection<FakeMember> members) {
    List<FakeMember> holders = members.stream().filter(FakeMember::isLeaseValid).toList();
    assertThat(holders).as("leaders with a valid lease").hasSizeLessThan(2);
    for (FakeMember holder : holders) {
      Membership membership = holder.membership();
      long availableVotes =
          members.stream()
              .filter(member -> membership.isVoter(member.id()) && member.canVote())
              .count();
      assertThat(availableVotes)
          .as("voters that can vote while a lease is valid")
          .isLessThan(membership.quorumCount());
    }
  }

  private static void checkQuorumHolds(
      FakeMember member, LogEntry entry, Collection<FakeMember> all) {
    if (!member.isLeader()) {
      return;
    }
    Membership membership = member.membership();
    long durableVoters =
        all.stream()
            .filter(other -> membership.isVoter(other.id()) && other.disk().isDurable(entry))
            .count();
    assertThat(durableVoters)
        .as("voters on which %s survives a power loss", entry)
        .isGreaterThanOrEqualTo(membership.quorumCount());
  }
}
