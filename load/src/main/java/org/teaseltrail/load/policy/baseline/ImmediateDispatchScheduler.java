package org.teaseltrail.load.policy.baseline;

import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.OptionalLong;
import java.util.SplittableRandom;
import org.teaseltrail.core.id.FencingNumber;
import org.teaseltrail.core.id.RequestId;
import org.teaseltrail.core.id.VmId;
import org.teaseltrail.core.message.ControlMessage;
import org.teaseltrail.core.message.EntryMessage;
import org.teaseltrail.core.message.Ticket;
import org.teaseltrail.core.schedule.Scheduler;
import org.teaseltrail.core.schedule.SchedulerAction;
import org.teaseltrail.core.schedule.SchedulerEvent;
import org.teaseltrail.core.upstream.Announcement;

/**
 * Dispatches each request on arrival, so that the backlog builds up in the engines. Each VM runs
 * its own instance, which has no information about the requests of other VMs.
 */
final class ImmediateDispatchScheduler implements Scheduler {

  private static final FencingNumber NO_FENCING = new FencingNumber(0);

  private final UpstreamSelector choice;
  private final SplittableRandom random;
  private final UpstreamTracker upstreams = new UpstreamTracker();
  private final Map<RequestId, Offered> waiting = new LinkedHashMap<>();
  private final Map<RequestId, Offered> granted = new LinkedHashMap<>();
  private long turn;

  ImmediateDispatchScheduler(UpstreamSelector choice, long seed) {
    this.choice = choice;
    this.random = new SplittableRandom(seed);
  }

  @Override
  public List<SchedulerAction> handle(SchedulerEvent event, long nowNs) {
    if (event instanceof SchedulerEvent.FromEntry fromEntry) {
      apply(fromEntry.vm(), fromEntry.message(), nowNs);
    }
    return dispatchAll(nowNs);
  }

  @Override
  public OptionalLong nextWakeupNs() {
    return OptionalLong.empty();
  }

  private void apply(VmId vm, EntryMessage message, long nowNs) {
    if (message instanceof EntryMessage.Offer offer) {
      waiting.put(offer.ticket().request(), new Offered(vm, offer.ticket()));
    } else if (message instanceof EntryMessage.Withdraw withdraw) {
      waiting.remove(withdraw.request());
    } else if (message instanceof EntryMessage.Declined declined) {
      upstreams.eject(declined.upstream());
      Offered returned = granted.remove(declined.request());
      if (returned != null) {
        waiting.put(declined.request(), returned);
      }
    } else if (message instanceof EntryMessage.Ended ended) {
      granted.remove(ended.request());
    } else if (message instanceof EntryMessage.UpstreamSeen seen) {
      upstreams.heard(seen.announcement(), nowNs);
    }
  }

  private List<SchedulerAction> dispatchAll(long nowNs) {
    List<Announcement> serving = upstreams.serving(nowNs);
    if (serving.isEmpty() || waiting.isEmpty()) {
      return List.of();
    }
    List<SchedulerAction> actions = new ArrayList<>();
    for (Offered offered : waiting.values()) {
      Announcement chosen = choice.select(serving, turn++, random);
      granted.put(offered.ticket().request(), offered);
      actions.add(grant(offered, chosen));
    }
    waiting.clear();
    return actions;
  }

  private static SchedulerAction grant(Offered offered, Announcement chosen) {
    return new SchedulerAction.Send(
        offered.vm(),
        new ControlMessage.Grant(
            offered.ticket().request(),
            chosen.upstream(),
            chosen.incarnation(),
            chosen.address(),
            NO_FENCING));
  }

  private record Offered(VmId vm, Ticket ticket) {}
}
