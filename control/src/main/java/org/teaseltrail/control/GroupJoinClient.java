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
import org.teaseltrail.wire.ClientType;
import org.teaseltrail.wire.CloseReason;
import org.teaseltrail.wire.FrameClient;
import org.teaseltrail.wire.FrameConnection;
import org.teaseltrail.wire.FrameEndpoint;
import org.teaseltrail.wire.FrameLimits;
import org.teaseltrail.wire.FrameListener;
import org.teaseltrail.wire.MessageCodec;
import org.teaseltrail.wire.ReconnectBackoff;
import reactor.core.Disposable;
import reactor.core.scheduler.Schedulers;

/**
 * Sends requests to join the group for as long as this member is not part of it or knows no leader:
 * the member may have been replaced while it was partitioned from the others. The requests go to
 * the seeds and to the members that these name, since any of them may have failed.
 */
final class GroupJoinClient implements AutoCloseable, FrameListener<GroupReply, GroupMessage> {

  /** Short enough that several requests arrive before the leader considers the member gone. */
  private static final long JOIN_INTERVAL_MS = 300;

  private static final long MIN_BACKOFF_MS = 50;
  private static final long MAX_BACKOFF_MS = 500;

  private final GroupId group;
  private final Member self;
  private final VmAddressResolver directory;
  private final MessageCodec codec;
  private final RandomGenerator random;
  private final Set<VmId> addCandidates = new LinkedHashSet<>();
  private final Map<VmId, FrameClient<GroupReply, GroupMessage>> clients = new LinkedHashMap<>();
  private final Disposable timer;
  private Membership membership = Membership.empty();
  private boolean setLeaderKnown;

  GroupJoinClient(
      GroupId group,
      Member self,
      GroupBootstrapOptions bootstrap,
      MessageCodec codec,
      RandomGenerator random) {
    this.group = group;
    this.self = self;
    this.directory = VmAddressResolver.fromVmName();
    this.codec = codec;
    this.random = random;
    addCandidates.addAll(bootstrap.seeds());
    timer =
        Schedulers.parallel()
            .schedulePeriodically(
                this::sendJoinRequests, JOIN_INTERVAL_MS, JOIN_INTERVAL_MS, TimeUnit.MILLISECONDS);
  }

  synchronized void members(Membership changed) {
    membership = changed;
    changed.all().map(Member::vm).forEach(addCandidates::add);
  }

  synchronized void addCandidates(List<VmId> seeds) {
    addCandidates.addAll(seeds);
  }

  synchronized void setLeaderKnown(boolean known) {
    setLeaderKnown = known;
  }

  @Override
  public void onOpened(FrameConnection<GroupReply, GroupMessage> connection) {}

  @Override
  public synchronized void onReceived(
      FrameConnection<GroupReply, GroupMessage> connection, GroupReply reply) {
    addCandidates.addAll(((GroupReply.KnownMembers) reply).vms());
  }

  @Override
  public void onClosed(FrameConnection<GroupReply, GroupMessage> connection, CloseReason reason) {}

  @Override
  public synchronized void close() {
    timer.dispose();
    closeClients();
  }

  private synchronized void sendJoinRequests() {
    if (membership.contains(self.id()) && setLeaderKnown) {
      closeClients();
      return;
    }
    for (VmId vm : addCandidates) {
      if (!vm.equals(self.vm()) && directory.resolve(vm).isPresent()) {
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
        directory.resolve(vm).orElseThrow(),
        self.id().value(),
        new FrameEndpoint<>(ClientType.JOINING_MEMBER, GroupReply.class, GroupMessage.class, this),
        FrameLimits.defaults(),
        codec,
        new ReconnectBackoff(MIN_BACKOFF_MS, MAX_BACKOFF_MS, random));
  }
}
