package org.teaseltrail.control;

import java.util.LinkedHashMap;
import java.util.LinkedHashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.concurrent.TimeUnit;
import java.util.random.RandomGenerator;
import org.teaseltrail.core.id.VmId;
import org.teaseltrail.core.message.GroupMessage;
import org.teaseltrail.core.message.GroupReply;
import org.teaseltrail.core.replication.GroupId;
import org.teaseltrail.core.replication.Member;
import org.teaseltrail.core.replication.Membership;
import org.teaseltrail.wire.CloseReason;
import org.teaseltrail.wire.FrameClient;
import org.teaseltrail.wire.FrameConnection;
import org.teaseltrail.wire.FrameEndpoint;
import org.teaseltrail.wire.FrameLimits;
import org.teaseltrail.wire.FrameListener;
import org.teaseltrail.wire.MessageCodec;
import org.teaseltrail.wire.ReconnectBackoff;
import org.teaseltrail.wire.SpeakerKind;
import reactor.core.Disposable;
import reactor.core.scheduler.Schedulers;

/**
 * Asks to belong to the group as long as this member doesn't, or hears of no leader: it may have
 * been replaced while it was cut off. It asks the seeds and whoever they name, since any of them
 * may be gone.
 */
final class GroupJoiner implements AutoCloseable, FrameListener<GroupReply, GroupMessage> {

  /** Pace of the requests; several within the time in which the leader looks for newcomers. */
  private static final long ASK_EVERY_MS = 300;

  private static final long MIN_BACKOFF_MS = 50;
  private static final long MAX_BACKOFF_MS = 500;

  private final GroupId group;
  private final Member self;
  private final VmDirectory directory;
  private final MessageCodec codec;
  private final RandomGenerator random;
  private final Set<VmId> candidates = new LinkedHashSet<>();
  private final Map<VmId, FrameClient<GroupReply, GroupMessage>> clients = new LinkedHashMap<>();
  private final Disposable timer;
  private Membership membership = Membership.empty();
  private boolean leaderKnown;

  GroupJoiner(
      GroupId group,
      Member self,
      FormationOptions formation,
      MessageCodec codec,
      RandomGenerator random) {
    this.group = group;
    this.self = self;
    this.directory = VmDirectory.byName();
    this.codec = codec;
    this.random = random;
    candidates.addAll(formation.seeds());
    timer =
        Schedulers.parallel()
            .schedulePeriodically(this::ask, ASK_EVERY_MS, ASK_EVERY_MS, TimeUnit.MILLISECONDS);
  }

  synchronized void members(Membership changed) {
    membership = changed;
    changed.all().map(Member::vm).forEach(candidates::add);
  }

  synchronized void candidates(List<VmId> seeds) {
    candidates.addAll(seeds);
  }

  synchronized void leaderKnown(boolean known) {
    leaderKnown = known;
  }

  @Override
  public void opened(FrameConnection<GroupReply, GroupMessage> connection) {}

  @Override
  public synchronized void received(
      FrameConnection<GroupReply, GroupMessage> connection, GroupReply reply) {
    candidates.addAll(((GroupReply.KnownMembers) reply).vms());
  }

  @Override
  public void closed(FrameConnection<GroupReply, GroupMessage> connection, CloseReason reason) {}

  @Override
  public synchronized void close() {
    timer.dispose();
    closeClients();
  }

  private synchronized void ask() {
    if (membership.contains(self.id()) && leaderKnown) {
      closeClients();
      return;
    }
    for (VmId vm : candidates) {
      if (!vm.equals(self.vm()) && directory.find(vm).isPresent()) {
        clients.computeIfAbsent(vm, this::client).send(new GroupMessage.Join(group, self));
      }
    }
  }

  private void closeClients() {
    clients.values().forEach(FrameClient::close);
    clients.clear();
  }

  private FrameClient<GroupReply, GroupMessage> client(VmId vm) {
    return FrameClient.connect(
        directory.find(vm).orElseThrow(),
        self.id().value(),
        new FrameEndpoint<>(SpeakerKind.JOINING_MEMBER, GroupReply.class, GroupMessage.class, this),
        FrameLimits.standard(),
        codec,
        new ReconnectBackoff(MIN_BACKOFF_MS, MAX_BACKOFF_MS, random));
  }
}
