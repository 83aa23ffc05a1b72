package org.teaseltrail.bench.control;

import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.locks.LockSupport;
import java.util.function.LongConsumer;
import org.teaseltrail.core.id.MemberId;
import org.teaseltrail.core.replication.Member;
import org.teaseltrail.core.replication.MembershipChange;
import org.teaseltrail.core.replication.ReplicaEvent;
import org.teaseltrail.storage.NioFileSystem;
import org.teaseltrail.storage.ReplicaStorage;

/** Replication group on temporary folders that starts with one member and adds the others. */
final class BenchGroup implements AutoCloseable {

  private static final long POLL_NS = 20_000_000L;

  private final Map<MemberId, BenchNode> peers = new ConcurrentHashMap<>();
  private final List<BenchNode> nodes = new ArrayList<>();

  BenchGroup(Path folder, int size, LongConsumer committed) throws IOException {
    for (int i = 1; i <= size; i++) {
      Path path = Files.createDirectories(folder.resolve("member-" + i));
      if (i == 1) {
        ReplicaStorage.createGroup(new NioFileSystem(), path, BenchNode.identity("vm-" + i));
      } else {
        ReplicaStorage.createMember(new NioFileSystem(), path, BenchNode.identity("vm-" + i));
      }
      nodes.add(new BenchNode(path, peers, committed));
    }
    nodes.forEach(BenchNode::start);
    awaitLeader();
    for (int i = 1; i < size; i++) {
      join(nodes.get(i).member());
    }
  }

  BenchNode leader() {
    return nodes.get(0);
  }

  @Override
  public void close() {
    nodes.forEach(BenchNode::close);
  }

  private void awaitLeader() {
    while (!leader().isLeading()) {
      LockSupport.parkNanos(POLL_NS);
    }
  }

  /** Repeats the proposals, since a learner must catch up before it can be promoted to a voter. */
  private void join(Member member) {
    for (int i = 0; i < 50; i++) {
      leader()
          .post(new ReplicaEvent.ProposeMembership(-1, new MembershipChange.AddLearner(member)));
      LockSupport.parkNanos(POLL_NS);
      leader()
          .post(
              new ReplicaEvent.ProposeMembership(
                  -1, new MembershipChange.PromoteLearner(member.id())));
      LockSupport.parkNanos(POLL_NS);
    }
  }
}
