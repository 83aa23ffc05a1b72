package org.teaseltrail.core.replication;

import java.util.List;
import java.util.Optional;
import java.util.random.RandomGenerator;
import org.teaseltrail.core.id.MemberId;

/** State shared by all roles of a replica. */
final class ReplicaContext {

  final MemberId self;
  final ReplicaSettings settings;
  final RandomGenerator random;
  final Outbox outbox;
  final ReplicatedLog log;
  final MembershipHistory members;
  final VoteStore voteStore;
  final CommitTracker commitTracker;
  private Optional<MemberId> leader = Optional.empty();

  ReplicaContext(
      GroupId group,
      MemberId self,
      ReplicaSettings settings,
      RecoveredState recovered,
      RandomGenerator random) {
    this.self = self;
    this.settings = settings;
    this.random = random;
    this.outbox = new Outbox(group, self);
    this.log = new ReplicatedLog(outbox, recovered);
    this.members = new MembershipHistory(outbox, recovered);
    this.voteStore = new VoteStore(outbox, recovered);
    this.commitTracker =
        new CommitTracker(
            outbox, log, new SnapshotScheduler(settings.snapshots(), random), settings.snapshots());
  }

  Optional<MemberId> leader() {
    return leader;
  }

  void setLeader(Optional<MemberId> changed) {
    if (!leader.equals(changed)) {
      leader = changed;
      outbox.add(new ReplicaAction.LeaderChanged(voteStore.term(), changed));
    }
  }

  /** Appends entries to the log; a member set among them takes effect immediately. */
  void append(List<LogEntry> entries) {
    log.append(entries);
    members.onAppended(entries);
  }

  boolean isVoter() {
    return members.latest().isVoter(self);
  }
}
