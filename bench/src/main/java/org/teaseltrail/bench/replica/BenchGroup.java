package org.teaseltrail.bench.replica;

import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.function.BooleanSupplier;
import org.teaseltrail.core.id.Incarnation;
import org.teaseltrail.core.id.MemberId;
import org.teaseltrail.core.id.VmId;
import org.teaseltrail.core.replication.GroupId;
import org.teaseltrail.core.replication.MembershipChange;
import org.teaseltrail.core.replication.ReplicaEvent;
import org.teaseltrail.core.replication.ReplicaSettings;
import org.teaseltrail.storage.FolderIdentity;
import org.teaseltrail.storage.NioFileSystem;
import org.teaseltrail.storage.ReplicaStorage;

/** Replication group whose members run in this process, each with its own data folder. */
final class BenchGroup implements AutoCloseable {

  private static final GroupId GROUP = new GroupId("bench");
  private static final long POLL_MS = 1;
  private static final long RETRY_POLLS = 100;

  private final NioFileSystem files = new NioFileSystem();
  private final Map<MemberId, BenchMember> members = BenchMember.group();
  private final List<BenchMember> started = new ArrayList<>();
  private final Path root;
  private final ReplicaSettings settings;
  private final byte[] state;

  BenchGroup(Path root, ReplicaSettings settings, int stateBytes) throws InterruptedException {
    this.root = root;
    this.settings = settings;
    this.state = new byte[stateBytes];
    FolderIdentity initialMember = identity(0);
    ReplicaStorage.createGroup(files, root.resolve("0"), initialMember);
    start(0);
    await(() -> leader().isLeading());
  }

  BenchMember leader() {
    return started.get(0);
  }

  /** Adds members until the group has the given number of voters. */
  BenchGroup growTo(int voters) throws InterruptedException {
    for (int i = started.size(); i < voters; i++) {
      BenchMember added = addLearner();
      await(() -> added.appliedIndex() >= leader().appliedIndex());
      change(new MembershipChange.PromoteLearner(added.id()));
    }
    return this;
  }

  /** Starts a member with an empty folder and adds it to the group as a learner. */
  BenchMember addLearner() throws InterruptedException {
    int number = started.size();
    FolderIdentity identity = identity(number);
    ReplicaStorage.createMember(files, root.resolve(Integer.toString(number)), identity);
    BenchMember added = start(number);
    change(new MembershipChange.AddLearner(identity.member()));
    return added;
  }

  /** Polls until the condition is true. */
  static void await(BooleanSupplier condition) throws InterruptedException {
    while (!condition.getAsBoolean()) {
      Thread.sleep(POLL_MS);
    }
  }

  @Override
  public void close() throws InterruptedException {
    for (BenchMember member : started) {
      member.close();
    }
  }

  private void change(MembershipChange change) throws InterruptedException {
    long before = leader().appliedIndex();
    for (int polls = 0; leader().appliedIndex() == before; polls++) {
      if (polls % RETRY_POLLS == 0) {
        leader().send(new ReplicaEvent.ProposeMembership(0, change));
      }
      Thread.sleep(POLL_MS);
    }
  }

  private BenchMember start(int number) {
    Path path = root.resolve(Integer.toString(number));
    ReplicaStorage folder = ReplicaStorage.open(files, path, GROUP);
    BenchMember member = new BenchMember(members, folder, settings, state);
    started.add(member);
    return member;
  }

  private static FolderIdentity identity(int number) {
    return FolderIdentity.create(GROUP, new VmId("c" + number), new Incarnation(1));
  }
}
