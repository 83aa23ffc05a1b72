package org.teaseltrail.core.replication;

import static org.assertj.core.api.Assertions.assertThat;

import java.util.List;
import java.util.Optional;
import java.util.SplittableRandom;
import org.junit.jupiter.api.Test;
import org.teaseltrail.core.id.MemberId;
import org.teaseltrail.core.id.VmId;

class ElectionTest {

  private final FakeGroup group = new FakeGroup(7, 3);

  @Test
  void singleVoterElectsItselfAndCommits() {
    FakeGroup alone = new FakeGroup(1, 1);
    FakeMember founder = alone.awaitLeader();
    alone.propose(founder);
    alone.run(20 * FakeGroup.MS);
    assertThat(founder.appliedIndex()).isEqualTo(3);
  }

  /**
   * Guards against a VM that returns from a long network partition with a higher term: it would
   * depose the leader, and scheduling would stop for an election.
   */
  @Test
  void returningIsolatedMemberDoesNotDeposeLeader() {
    FakeMember leader = group.awaitLeader();
    final long term = leader.replica().term();
    FakeMember other = group.anyExcept(leader);
    group.isolate(other);
    group.run(10_000 * FakeGroup.MS);
    group.heal();
    group.run(3_000 * FakeGroup.MS);
    assertThat(group.awaitLeader()).isSameAs(leader);
    assertThat(leader.replica().term()).isEqualTo(term);
  }

  /**
   * Guards against a one-way link failure in which the leader's messages arrive but no replies
   * reach it. Its heartbeats keep the others from voting, so unless it steps down nothing is
   * committed until an operator repairs the link.
   */
  @Test
  void leaderWithoutInboundLinksStepsDown() {
    FakeMember leader = group.awaitLeader();
    group.members().forEach(other -> group.cutLink(other, leader));
    group.run(3_000 * FakeGroup.MS);
    assertThat(group.awaitLeader()).isNotSameAs(leader);
  }

  /**
   * After a leader crash the group is without a valid lease for less than the 2 s that the design
   * allows.
   */
  @Test
  void newLeaderWithinTwoSecondsOfCrash() {
    for (int seed = 0; seed < 50; seed++) {
      FakeGroup killed = new FakeGroup(seed, 3);
      killed.awaitLeader().crash();
      killed.run(2_000 * FakeGroup.MS);
      assertThat(killed.leader()).as("seed %d", seed).isPresent();
    }
  }

  /**
   * Guards against a slow election after a power loss of all VMs. The members restart within a
   * fifth of a second of each other and refuse their votes for one lease. If each of them waited a
   * complete election timeout before its first pre-vote, and another one if that came too early,
   * requests would be rejected meanwhile.
   */
  @Test
  void leaderElectedSoonAfterFullRestart() {
    long totalNs = 0;
    for (int seed = 0; seed < 50; seed++) {
      FakeGroup restarted = new FakeGroup(seed, 5);
      restarted.awaitLeader();
      List<FakeMember> members = List.copyOf(restarted.members());
      members.forEach(FakeMember::crash);
      restarted.run(1_000 * FakeGroup.MS);
      for (int i = 0; i < members.size(); i++) {
        restarted.runAfter(i * 50 * FakeGroup.MS, members.get(i)::start);
      }
      long startedNs = restarted.nowNs();
      restarted.awaitLeader();
      totalNs += restarted.nowNs() - startedNs;
    }
    assertThat(totalNs / 50).isLessThan(700 * FakeGroup.MS);
  }

  /**
   * Guards against a vote before the lease that a member may have granted in its previous
   * incarnation has expired, and against waiting longer than that. A process takes 0.3 s to restart
   * before the member runs; this time counts towards the lease.
   */
  @Test
  void votesOneLeaseAfterPreviousIncarnationEnded() {
    long leaseMs = FakeGroup.SETTINGS.leaseMs();
    assertThat(grantsVote(leaseMs - 200, 199)).isFalse();
    assertThat(grantsVote(leaseMs - 200, 201)).isTrue();
    assertThat(grantsVote(0, leaseMs - 1)).isFalse();
    assertThat(grantsVote(0, leaseMs + 1)).isTrue();
  }

  private static boolean grantsVote(long downtimeMs, long afterStartMs) {
    long startNs = 10_000 * FakeGroup.MS;
    FakeMember founder = new FakeGroup(1, 3).member(0);
    Replica replica =
        new Replica(
            FakeGroup.ID,
            founder.id(),
            FakeGroup.SETTINGS,
            founder.disk().recovered(),
            new SplittableRandom(1),
            startNs - downtimeMs * FakeGroup.MS,
            startNs);
    PeerMessage request = new PeerMessage.VoteRequest(9, 100, 8, false);
    PeerEnvelope envelope =
        new PeerEnvelope(FakeGroup.ID, new MemberId("other-1"), founder.id(), request);
    long nowNs = startNs + afterStartMs * FakeGroup.MS;
    return replica.handle(new ReplicaEvent.PeerMessageReceived(envelope), nowNs).stream()
        .anyMatch(
            action ->
                action instanceof ReplicaAction.SaveVote saved
                    && saved.vote().votedFor().isPresent());
  }

  /**
   * A leader that transfers its leadership is replaced immediately, without waiting for its lease
   * to expire.
   */
  @Test
  void leadershipTransferDoesNotWaitForLease() {
    FakeMember leader = group.awaitLeader();
    leader.handle(new ReplicaEvent.TransferLeadership(0, Optional.empty()));
    assertThat(leader.isLeaseValid()).isFalse();
    group.run(100 * FakeGroup.MS);
    assertThat(group.leader()).isPresent();
    assertThat(group.awaitLeader()).isNotSameAs(leader);
  }

  /**
   * Guards against a vote of a process that starts with an empty folder after its disk was
   * replaced: it could elect a leader that lacks entries which the old disk had acknowledged.
   */
  @Test
  void emptyLogNeverVotes() {
    MemberId empty = new MemberId("c9-1");
    Replica replica =
        new Replica(
            FakeGroup.ID,
            empty,
            FakeGroup.SETTINGS,
            RecoveredState.empty(),
            new SplittableRandom(1),
            0);
    PeerMessage request = new PeerMessage.VoteRequest(5, 0, 0, false);
    PeerEnvelope envelope = new PeerEnvelope(FakeGroup.ID, new MemberId("c8-1"), empty, request);
    long nowNs = 10_000 * FakeGroup.MS;
    assertThat(replica.handle(new ReplicaEvent.PeerMessageReceived(envelope), nowNs))
        .noneMatch(
            action ->
                action instanceof ReplicaAction.SaveVote saved
                    && saved.vote().votedFor().isPresent());
  }

  /**
   * Guards against two membership changes in flight, as when an operator repeats a change or two
   * operators change members concurrently: two quorums without a common voter could decide.
   */
  @Test
  void onlyOneMembershipChangeAtOnce() {
    FakeMember leader = group.awaitLeader();
    assertThat(refusal(leader, add("n1"))).isEmpty();
    assertThat(refusal(leader, add("n2"))).contains(ProposalRejection.MEMBERSHIP_CHANGE_PENDING);
    group.run(100 * FakeGroup.MS);
    assertThat(refusal(leader, add("n1"))).contains(ProposalRejection.ALREADY_MEMBER);
    assertThat(refusal(leader, new MembershipChange.PromoteLearner(new MemberId("n1-1"))))
        .contains(ProposalRejection.LEARNER_NOT_CAUGHT_UP);
    assertThat(refusal(leader, new MembershipChange.RemoveMember(new MemberId("n1-1")))).isEmpty();
  }

  private static MembershipChange add(String name) {
    return new MembershipChange.AddLearner(new Member(new MemberId(name + "-1"), new VmId(name)));
  }

  private Optional<ProposalRejection> refusal(FakeMember leader, MembershipChange change) {
    return leader
        .replica()
        .handle(new ReplicaEvent.ProposeMembership(0, change), leader.localNs())
        .stream()
        .filter(ReplicaAction.ProposalRejected.class::isInstance)
        .map(action -> ((ReplicaAction.ProposalRejected) action).reason())
        .findFirst();
  }
}
