package org.teaseltrail.core.control;

import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;
import org.teaseltrail.core.id.DataCenterId;
import org.teaseltrail.core.id.FencingNumber;
import org.teaseltrail.core.id.Incarnation;
import org.teaseltrail.core.id.RequestId;
import org.teaseltrail.core.id.Revision;
import org.teaseltrail.core.id.VmId;
import org.teaseltrail.core.message.ControlMessage;
import org.teaseltrail.core.message.ControlMessage.Grant;
import org.teaseltrail.core.message.DeclineReason;
import org.teaseltrail.core.message.EndKind;
import org.teaseltrail.core.message.EntryMessage;
import org.teaseltrail.core.message.Usage;

/**
 * Minimal entry VM that follows the protocol: it dispatches a request once, declines grants of
 * older leaderships, reports its full state to a new leader, and can lose its state.
 */
final class DispatchingEntryVm implements FakeControlGroup.Listener {

  private static final long HELLO_NS = 500_000_000L;
  private static final long RUN_NS = 300_000_000L;

  private record Running(EntryMessage.Offer offer, Grant grant) {}

  private final FakeControlGroup group;
  private final DispatchRecorder history;
  private final VmId vm;
  private final Map<RequestId, EntryMessage.Offer> waiting = new HashMap<>();
  private final Map<RequestId, Running> running = new HashMap<>();
  private final Set<EntryMessage.Ended> ended = new HashSet<>();
  private Revision applied = new Revision(0);
  private FencingNumber newest = new FencingNumber(0);
  private FakeControlMember leader;
  private long incarnation = 1;
  private long sequence;
  private int grants;

  DispatchingEntryVm(FakeControlGroup group, DispatchRecorder history, String name) {
    this.group = group;
    this.history = history;
    vm = new VmId(name);
    group.listen(vm, this);
    sendHello();
  }

  void call(String request, String key) {
    EntryMessage.Offer offer = Samples.offer(request, key, "d");
    waiting.put(offer.ticket().request(), offer);
    if (leader != null) {
      send(leader, offer);
    }
  }

  /** Restarts the process without state; requests that it dispatched keep running upstream. */
  void restart() {
    incarnation++;
    waiting.clear();
    running.clear();
    ended.clear();
    newest = new FencingNumber(0);
    applied = new Revision(0);
    leader = null;
  }

  @Override
  public void received(FakeControlMember from, ControlMessage message) {
    if (message instanceof ControlMessage.Welcome welcome) {
      onWelcome(from, welcome);
    } else if (message instanceof ControlMessage.ConfigurationUpdate update) {
      Revision revision = update.configuration().revision();
      applied = revision.compareTo(applied) > 0 ? revision : applied;
    } else if (message instanceof Grant grant) {
      granted(from, grant);
    } else if (message instanceof ControlMessage.Refused refused) {
      waiting.remove(refused.request());
    } else if (message instanceof ControlMessage.ClaimExists exists) {
      waiting.remove(exists.request());
    }
  }

  private void onWelcome(FakeControlMember from, ControlMessage.Welcome welcome) {
    if (welcome.fencing().compareTo(newest) < 0) {
      return;
    }
    newest = welcome.fencing();
    leader = from;
    if (welcome.reportsWanted()) {
      running
          .values()
          .forEach(
              each ->
                  send(
                      from,
                      new EntryMessage.StillRunning(
                          each.offer().ticket(), each.grant().upstream(), 1, 10)));
      List.copyOf(waiting.values()).forEach(offer -> send(from, offer));
      ended.forEach(end -> send(from, end));
      send(from, new EntryMessage.ReportsComplete(vm, welcome.fencing()));
    }
  }

  private void granted(FakeControlMember from, Grant grant) {
    EntryMessage.Offer offer = waiting.get(grant.request());
    if (offer == null) {
      if (!running.containsKey(grant.request())) {
        decline(from, grant, DeclineReason.UNKNOWN_REQUEST);
      }
      return;
    }
    if (grant.fencing().compareTo(newest) < 0) {
      decline(from, grant, DeclineReason.STALE_GRANT);
    } else if (++grants % 4 == 0) {
      decline(from, grant, DeclineReason.CONNECT_FAILED);
    } else {
      waiting.remove(grant.request());
      running.put(grant.request(), new Running(offer, grant));
      history.recordDispatch(offer.ticket());
      int startedIncarnation = (int) incarnation;
      group.after(RUN_NS, () -> end(startedIncarnation, grant));
    }
  }

  private void end(int startedIncarnation, Grant grant) {
    if (startedIncarnation == incarnation && running.remove(grant.request()) != null) {
      EndKind kind = grants % 3 == 0 ? EndKind.FAILED : EndKind.COMPLETED;
      EntryMessage.Ended end =
          new EntryMessage.Ended(
              grant.request(), grant.upstream(), kind, new Usage(100, 0, 20), 300);
      ended.add(end);
      send(leader, end);
    }
  }

  private void decline(FakeControlMember from, Grant grant, DeclineReason reason) {
    send(from, new EntryMessage.Declined(grant.request(), grant.upstream(), reason));
  }

  private void send(FakeControlMember member, EntryMessage message) {
    if (member != null) {
      group.send(vm, member, message);
    }
  }

  private void sendHello() {
    EntryMessage.Hello hello =
        new EntryMessage.Hello(
            vm, new Incarnation(incarnation), new DataCenterId("dc"), applied, ++sequence);
    group.members().forEach(member -> send(member, hello));
    send(leader, Samples.seen("u1", "regina-a", sequence));
    group.after(HELLO_NS, this::sendHello);
  }
}
