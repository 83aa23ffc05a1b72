package org.teaseltrail.core.control;

import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.Deque;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import org.teaseltrail.core.id.ServiceId;
import org.teaseltrail.core.id.UpstreamId;
import org.teaseltrail.core.id.VmId;
import org.teaseltrail.core.serving.QueueState;
import org.teaseltrail.core.serving.ServingMessage;
import org.teaseltrail.core.serving.SlotUsage;
import org.teaseltrail.core.serving.Urgency;

/** Is what the leader knows of one entry VM while it hands out places. */
final class EntryVmSlotState {

  /** Time after which a grant that nothing is heard of counts as lost: many round trips. */
  private static final long GRANT_TIMEOUT_NS = 300_000_000L;

  /**
   * Silence after which a VM gets no places: ten syncs of a VM where requests wait. Guards against
   * a VM that is cut off and keeps its line here: each place granted to it counts as taken for as
   * long as a grant may be on its way, and requests of others wait beside it.
   */
  private static final long REPORT_TIMEOUT_NS = 500_000_000L;

  private static final long NS_PER_MS = 1_000_000L;

  /**
   * Is the first request of one urgency that waits at a VM and has no place yet.
   *
   * @param vm where it waits
   * @param urgency its urgency
   * @param waitingSinceNs when it came
   */
  record Candidate(EntryVmSlotState vm, Urgency urgency, long waitingSinceNs) {}

  private record Open(SlotAllocator.Grant grant, long atNs) {}

  private final VmId id;
  private final Deque<Open> open = new ArrayDeque<>();
  private Map<UpstreamId, Integer> inFlight = Map.of();
  private Map<UpstreamId, Integer> unread = Map.of();
  private List<SlotUsage> held = List.of();
  private Map<ServiceId, QueueState> lines = Map.of();
  private long linesToldNs;
  private long heardNs;
  private long lastSequence;

  EntryVmSlotState(VmId id) {
    this.id = id;
  }

  VmId id() {
    return id;
  }

  /** Takes what the VM has at each upstream. */
  void heard(Map<UpstreamId, Integer> requests, long nowNs) {
    inFlight = requests;
    heardNs = nowNs;
  }

  /** Takes what waits at the VM, and which grants it has seen. */
  void recordReport(ServingMessage.Lines message, long nowNs) {
    heard(message.inFlight(), nowNs);
    open.removeIf(each -> each.grant().sequence() <= message.grantsSeen());
    unread = message.unread();
    held = message.held();
    lines = new HashMap<>();
    message.lines().forEach(line -> lines.put(line.service(), line));
    linesToldNs = nowNs;
  }

  boolean isSilent(long nowNs) {
    return nowNs - heardNs > REPORT_TIMEOUT_NS;
  }

  /** Returns how many requests wait there for each service. */
  Map<ServiceId, Integer> waiting() {
    Map<ServiceId, Integer> waiting = new HashMap<>();
    lines.forEach((service, line) -> waiting.put(service, line.size()));
    return waiting;
  }

  void removeLostGrants(long nowNs) {
    open.removeIf(each -> nowNs - each.atNs() > GRANT_TIMEOUT_NS);
  }

  /** Adds what the VM has in use and was granted; by kinds of requests only for one service. */
  void addUsageTo(SlotUsageTotals tally, ServiceId service) {
    inFlight.forEach(tally::addInUse);
    unread.keySet().forEach(tally::addUnread);
    open.forEach(each -> tally.granted(each.grant(), service));
    held.stream()
        .filter(each -> each.service().equals(service))
        .forEach(each -> tally.held(each.routeRank(), each.places()));
  }

  /** Tells whether requests for a service wait there. */
  boolean hasQueue(ServiceId service) {
    return lines.containsKey(service);
  }

  /** Returns, for each urgency, the first of what waits beyond what open grants are meant for. */
  List<Candidate> candidates(ServiceId service) {
    QueueState line = lines.get(service);
    if (line == null) {
      return List.of();
    }
    List<Candidate> candidates = new ArrayList<>();
    for (QueueState.WaitTimes waiting : line.waiting()) {
      int served = (int) openFor(service, waiting.urgency());
      if (served < waiting.waitedMs().size()) {
        long sinceNs = linesToldNs - waiting.waitedMs().get(served) * NS_PER_MS;
        candidates.add(new Candidate(this, waiting.urgency(), sinceNs));
      }
    }
    return candidates;
  }

  boolean accepts(ServiceId service, UpstreamId upstream) {
    return !lines.get(service).unwanted().contains(upstream);
  }

  boolean isSlow(ServiceId service, UpstreamId upstream) {
    return lines.get(service).slow().contains(upstream);
  }

  /** Gives the VM a place. */
  SlotAllocator.Grant grant(ServiceId service, UpstreamId upstream, Urgency urgency, long nowNs) {
    lastSequence++;
    SlotAllocator.Grant grant =
        new SlotAllocator.Grant(id, lastSequence, service, upstream, urgency);
    open.addLast(new Open(grant, nowNs));
    return grant;
  }

  private long openFor(ServiceId service, Urgency urgency) {
    return open.stream()
        .map(Open::grant)
        .filter(grant -> grant.service().equals(service) && grant.urgency().equals(urgency))
        .count();
  }
}
