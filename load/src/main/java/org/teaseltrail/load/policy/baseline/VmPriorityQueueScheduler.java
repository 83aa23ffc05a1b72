package org.teaseltrail.load.policy.baseline;

import java.util.ArrayList;
import java.util.Comparator;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.OptionalLong;
import java.util.TreeSet;
import org.teaseltrail.core.id.FencingNumber;
import org.teaseltrail.core.id.RequestId;
import org.teaseltrail.core.id.UpstreamId;
import org.teaseltrail.core.id.VmId;
import org.teaseltrail.core.message.ControlMessage;
import org.teaseltrail.core.message.EntryMessage;
import org.teaseltrail.core.message.RefusalKind;
import org.teaseltrail.core.message.Ticket;
import org.teaseltrail.core.schedule.Scheduler;
import org.teaseltrail.core.schedule.SchedulerAction;
import org.teaseltrail.core.schedule.SchedulerEvent;
import org.teaseltrail.core.upstream.Announcement;

/**
 * Priority queue on one VM, without information about the queues of other VMs. Requests are ordered
 * by tier, highest first, then by arrival. A request is dispatched while the VM's share of the
 * upstream's batch is free or the upstream's last announcement reports spare capacity. When the
 * number of waiting requests exceeds the VM's share of the fleet's limit, the newest request of the
 * lowest tier is shed.
 */
final class VmPriorityQueueScheduler implements Scheduler {

  private static final FencingNumber NO_FENCING = new FencingNumber(0);
  private static final long RETRY_AFTER_MS = 1_000;

  private final int vmCount;
  private final int maxWaiting;
  private final UpstreamTracker upstreams = new UpstreamTracker();
  private final TreeSet<Waiting> queue =
      new TreeSet<>(
          Comparator.<Waiting>comparingInt(w -> w.ticket().tier().rank())
              .thenComparingLong(Waiting::number));
  private final Map<RequestId, Running> running = new HashMap<>();
  private long offers;

  VmPriorityQueueScheduler(int vmCount, int maxWaitingInFleet) {
    this.vmCount = vmCount;
    this.maxWaiting = Math.max(1, maxWaitingInFleet / vmCount);
  }

  @Override
  public List<SchedulerAction> handle(SchedulerEvent event, long nowNs) {
    if (event instanceof SchedulerEvent.FromEntry fromEntry) {
      apply(fromEntry.vm(), fromEntry.message(), nowNs);
    }
    List<SchedulerAction> actions = new ArrayList<>();
    dispatch(actions, nowNs);
    shed(actions);
    return actions;
  }

  @Override
  public OptionalLong nextWakeupNs() {
    return OptionalLong.empty();
  }

  private void apply(VmId vm, EntryMessage message, long nowNs) {
    if (message instanceof EntryMessage.Offer offer) {
      queue.add(new Waiting(vm, offer.ticket(), offers++));
    } else if (message instanceof EntryMessage.Withdraw withdraw) {
      queue.removeIf(w -> w.ticket().request().equals(withdraw.request()));
    } else if (message instanceof EntryMessage.Declined declined) {
      upstreams.eject(declined.upstream());
      Running returned = running.remove(declined.request());
      if (returned != null) {
        queue.add(returned.waiting());
      }
    } else if (message instanceof EntryMessage.Ended ended) {
      running.remove(ended.request());
    } else if (message instanceof EntryMessage.UpstreamSeen seen) {
      upstreams.heard(seen.announcement(), nowNs);
    }
  }

  private void dispatch(List<SchedulerAction> actions, long nowNs) {
    List<Announcement> serving = upstreams.serving(nowNs);
    while (!queue.isEmpty()) {
      Optional<Announcement> free =
          serving.stream()
              .filter(a -> spareCapacity(a) > 0)
              .max(Comparator.comparingDouble(this::spareCapacity));
      if (free.isEmpty()) {
        return;
      }
      Waiting next = queue.pollFirst();
      running.put(next.ticket().request(), new Running(next, free.get().upstream()));
      actions.add(grant(next, free.get()));
    }
  }

  /** Estimates the spare capacity of the upstream's batch from what this VM knows. */
  private double spareCapacity(Announcement a) {
    long inFlight =
        running.values().stream().filter(r -> r.upstream().equals(a.upstream())).count();
    double ownShare = Math.max(1.0, Math.ceil((double) a.maxBatch() / vmCount));
    double reported = a.maxBatch() - a.load().runningRequests() - a.load().queuedRequests();
    return Math.max(ownShare, reported / vmCount + ownShare) - inFlight;
  }

  private void shed(List<SchedulerAction> actions) {
    while (queue.size() > maxWaiting) {
      Waiting last = queue.pollLast();
      actions.add(
          new SchedulerAction.Send(
              last.vm(),
              new ControlMessage.Refused(
                  last.ticket().request(), RefusalKind.SHED, RETRY_AFTER_MS)));
    }
  }

  private static SchedulerAction grant(Waiting next, Announcement chosen) {
    return new SchedulerAction.Send(
        next.vm(),
        new ControlMessage.Grant(
            next.ticket().request(),
            chosen.upstream(),
            chosen.incarnation(),
            chosen.address(),
            NO_FENCING));
  }

  private record Waiting(VmId vm, Ticket ticket, long number) {}

  private record Running(Waiting waiting, UpstreamId upstream) {}
}
