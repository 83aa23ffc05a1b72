package org.teaseltrail.core.replication;

import static org.assertj.core.api.Assertions.assertThat;

import java.util.ArrayList;
import java.util.List;
import java.util.Optional;
import java.util.SplittableRandom;
import java.util.stream.LongStream;
import org.junit.jupiter.api.Test;
import org.teaseltrail.core.id.MemberId;
import org.teaseltrail.core.id.VmId;

/**
 * Guards against a reply that is sent before the write that it acknowledges is synced. If the VM
 * loses power in between, the leader has counted the reply and reported a change as accepted that
 * is lost after the restart.
 */
class SyncBeforeReplyTest {

  private static final MemberId SELF = new MemberId("a-1");
  private static final MemberId LEADER = new MemberId("b-1");
  private static final MemberId OTHER = new MemberId("c-1");
  private static final MemberId LEARNER = new MemberId("d-1");
  private static final long MS = 1_000_000L;

  private long nowNs = 10_000 * MS;
  private List<ReplicaAction> actions = new ArrayList<>();
  private final Replica replica = start(List.of(entry(2, 1), entry(3, 1)));

  @Test
  void acknowledgesOnlySyncedEntries() {
    receive(LEADER, append(2, 3, 1, LongStream.of(2, 2)));
    assertThat(sent(PeerMessage.AppendReply.class)).isEmpty();
    persisted(newestWriteNumber());
    assertThat(sent(PeerMessage.AppendReply.class))
        .extracting(PeerMessage.AppendReply::matchIndex)
        .containsExactly(5L);
  }

  /** The sync of a truncated entry must not count for the new entry that replaced it. */
  @Test
  void syncOfTruncatedEntriesIsNotAcknowledged() {
    receive(LEADER, append(2, 3, 1, LongStream.of(2, 2, 2)));
    long oldWriteNumber = newestWriteNumber();
    receive(OTHER, append(3, 3, 1, LongStream.of(3, 3, 3)));
    persisted(oldWriteNumber);
    assertThat(sent(PeerMessage.AppendReply.class)).allMatch(reply -> reply.matchIndex() <= 3);
  }

  @Test
  void sendsVoteReplyOnlyAfterSync() {
    receive(OTHER, new PeerMessage.VoteRequest(2, 9, 1, false));
    assertThat(sent(PeerMessage.VoteReply.class)).isEmpty();
    persisted(newestWriteNumber());
    assertThat(sent(PeerMessage.VoteReply.class)).hasSize(1);
  }

  /**
   * A candidate whose own vote is lost in a crash could start another election in the same term
   * with a different log.
   */
  @Test
  void requestsVotesOnlyAfterOwnVoteIsSynced() {
    receive(LEADER, append(2, 3, 1, LongStream.of(2)));
    final long oldWriteNumber = newestWriteNumber();
    nowNs += 2_000 * MS;
    handle(new ReplicaEvent.Tick());
    receive(OTHER, new PeerMessage.PreVoteReply(2, 3, true));
    persisted(oldWriteNumber);
    assertThat(sent(PeerMessage.VoteRequest.class)).isEmpty();
    persisted(newestWriteNumber());
    assertThat(sent(PeerMessage.VoteRequest.class)).hasSize(2);
  }

  /**
   * An entry of an earlier term may be held by a quorum and still be replaced by a later leader
   * (Ongaro, section 3.6.2), so it is committed only by an entry of the leader's own term.
   */
  @Test
  void commitsOldEntriesOnlyWithEntryOfOwnTerm() {
    becomeLeader();
    receive(OTHER, new PeerMessage.AppendReply(2, 1, true, 3, 4));
    assertThat(actions).noneMatch(ReplicaAction.Apply.class::isInstance);
    receive(OTHER, new PeerMessage.AppendReply(2, 1, true, 4, 5));
    assertThat(actions).anyMatch(ReplicaAction.Apply.class::isInstance);
  }

  /**
   * Guards against the promotion of an empty learner by a leader that has just been restarted and
   * doesn't know the commit index yet, so that the learner seems to be caught up. An empty learner
   * can't vote for anyone, and the group could no longer elect a leader.
   */
  @Test
  void emptyLearnerIsNotCaughtUpWithNewLeader() {
    becomeLeader();
    receive(LEARNER, new PeerMessage.AppendReply(2, 1, true, 0, 1));
    receive(OTHER, new PeerMessage.AppendReply(2, 1, true, 4, 5));
    handle(new ReplicaEvent.ProposeMembership(8, new MembershipChange.PromoteLearner(LEARNER)));
    assertThat(actions)
        .contains(new ReplicaAction.ProposalRejected(8, ProposalRejection.LEARNER_NOT_CAUGHT_UP));
  }

  private void becomeLeader() {
    nowNs += 2_000 * MS;
    handle(new ReplicaEvent.Tick());
    receive(OTHER, new PeerMessage.PreVoteReply(1, 2, true));
    persisted(newestWriteNumber());
    receive(OTHER, new PeerMessage.VoteReply(2, true));
    persisted(newestWriteNumber());
  }

  private Replica start(List<LogEntry> entries) {
    List<Member> voters = new ArrayList<>();
    for (MemberId id : List.of(SELF, LEADER, OTHER)) {
      voters.add(new Member(id, new VmId("vm")));
    }
    List<LogEntry> log = new ArrayList<>();
    Member learner = new Member(LEARNER, new VmId("vm"));
    Membership membership = new Membership(voters, List.of(learner));
    log.add(new LogEntry(1, 0, new EntryPayload.MembershipPayload(membership)));
    log.addAll(entries);
    RecoveredState recovered =
        new RecoveredState(new Vote(1, Optional.empty()), Optional.empty(), log);
    return new Replica(
        FakeGroup.ID, SELF, FakeGroup.SETTINGS, recovered, new SplittableRandom(1), 9_400 * MS);
  }

  private static LogEntry entry(long index, long term) {
    return new LogEntry(index, term, new EntryPayload.Noop());
  }

  private static PeerMessage append(
      long term, long previousIndex, long previousTerm, LongStream terms) {
    List<LogEntry> entries = new ArrayList<>();
    terms.forEach(entryTerm -> entries.add(entry(previousIndex + 1 + entries.size(), entryTerm)));
    return new PeerMessage.Append(term, previousIndex, previousTerm, entries, 0, 1);
  }

  private void receive(MemberId from, PeerMessage message) {
    handle(
        new ReplicaEvent.PeerMessageReceived(new PeerEnvelope(FakeGroup.ID, from, SELF, message)));
  }

  private void persisted(long writeNumber) {
    handle(new ReplicaEvent.Persisted(writeNumber));
  }

  private void handle(ReplicaEvent event) {
    actions.addAll(replica.handle(event, nowNs));
  }

  private long newestWriteNumber() {
    return actions.stream()
        .filter(ReplicaAction.Write.class::isInstance)
        .mapToLong(action -> ((ReplicaAction.Write) action).writeNumber())
        .max()
        .orElseThrow();
  }

  private <T extends PeerMessage> List<T> sent(Class<T> type) {
    return actions.stream()
        .filter(ReplicaAction.SendPeerMessage.class::isInstance)
        .map(action -> ((ReplicaAction.SendPeerMessage) action).envelope().message())
        .filter(type::isInstance)
        .map(type::cast)
        .toList();
  }
}
