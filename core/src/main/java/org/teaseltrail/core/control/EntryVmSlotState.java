package org.teaseltrail.core.control;

import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.Deque;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import org.teaseltrail.core.id.CustomerId;
import org.teaseltrail.core.id.ServiceId;
import org.teaseltrail.core.id.UpstreamId;
import org.teaseltrail.core.id.VmId;
import org.teaseltrail.core.serving.QueueState;
import org.teaseltrail.core.serving.ServingMessage;
import org.teaseltrail.core.serving.SlotUsage;
import org.teaseltrail.core.serving.Urgency;

/** State of one entry VM in the allocation of slots. */
final class EntryVmSlotState {

  /** Time after which a grant that the VM has not reported on counts as lost: many round trips. */
  private static final long GRANT_TIMEOUT_NS = 300_000_000L;

  /**
   * Time without a report after which a VM gets no slots: ten sync intervals of a VM with waiting
   * requests. The leader still has the queue of a VM that is partitioned; each slot granted to that
   * VM would count as in use until the grant is considered lost, while requests at other VMs wait.
   */
  private static final long REPORT_TIMEOUT_NS = 500_000_000L;

  private static final long NS_PER_MS = 1_000_000L;

  /**
   * The first request of one urgency and customer that waits at a VM and has no slot yet.
   *
   * @param vm the VM at which it waits
   * @param urgency its urgency
   * @param customer its customer, if the VM groups by customer
   * @param waitingSinceNs time since which it has been waiting
   */
  record Candidate(
      EntryVmSlotState vm, Urgency urgency, Optional<CustomerId> customer, long waitingSinceNs) {}

  private record PendingGrant(SlotAllocator.Grant grant, long atNs) {}

  private record PendingKind(ServiceId service, WaitingClass waitingClass) {}

  private final VmId id;
  private final SlotLedger ledger;
  private final Deque<PendingGrant> pendingGrants = new ArrayDeque<>();
  private final Map<PendingKind, Integer> pendingCounts = new HashMap<>();
  private Map<UpstreamId, Integer> inFlight = Map.of();
  private Set<UpstreamId> unread = Set.of();
  private List<SlotUsage> held = List.of();
  private Map<ServiceId, QueueState> lines = Map.of();
  private Map<ServiceId, List<CandidateIndex.Group>> groups = Map.of();
  private long queuesReportedNs;
  private long heardNs;
  private long lastSequence;

  /**
   * Creates the state of a VM that has reported nothing.
   *
   * @param id the VM
   * @param ledger holds the totals of all VMs
   */
  EntryVmSlotState(VmId id, SlotLedger ledger) {
    this.id = id;
    this.ledger = ledger;
  }

  VmId id() {
    return id;
  }

  /** Records the VM's requests in flight by upstream. */
  void heard(Map<UpstreamId, Integer> requests, long nowNs) {
    setInFlight(requests);
    heardNs = nowNs;
  }

  /** Records the VM's waiting requests and the grants that it has received. */
  void recordReport(ServingMessage.Lines message, long nowNs) {
    heard(message.inFlight(), nowNs);
    removeGroups();
    while (!pendingGrants.isEmpty()
        && pendingGrants.peekFirst().grant().sequence() <= message.grantsSeen()) {
      removeFirstPending();
    }
    setUnread(message.unread().keySet());
    setHeld(message.held());
    queuesReportedNs = nowNs;
    addGroups(message.lines());
  }

  /** Removes what the VM has reported and was granted from the totals. */
  void remove() {
    removeGroups();
    while (!pendingGrants.isEmpty()) {
      removeFirstPending();
    }
    setInFlight(Map.of());
    setUnread(Set.of());
    setHeld(List.of());
  }

  boolean isSilent(long nowNs) {
    return nowNs - heardNs > REPORT_TIMEOUT_NS;
  }

  /** Returns the number of requests that wait there for each service. */
  Map<ServiceId, Integer> waiting() {
    Map<ServiceId, Integer> waiting = new HashMap<>();
    lines.forEach((service, queue) -> waiting.put(service, queue.size()));
    return waiting;
  }

  static boolean isLost(long grantedNs, long nowNs) {
    return nowNs - grantedNs > GRANT_TIMEOUT_NS;
  }

  void removeLostGrants(long nowNs) {
    while (!pendingGrants.isEmpty() && isLost(pendingGrants.peekFirst().atNs(), nowNs)) {
      removeFirstPending();
    }
  }

  /** Returns the number of the VM's requests and pending grants at each upstream. */
  Map<UpstreamId, Integer> occupied() {
    Map<UpstreamId, Integer> occupied = new HashMap<>(inFlight);
    pendingGrants.forEach(each -> occupied.merge(each.grant().upstream(), 1, Integer::sum));
    return occupied;
  }

  /** Adds the waiting requests that are not covered by a pending grant. */
  void addWaitingTo(Map<WaitingClass, Integer> totals, ServiceId service) {
    QueueState queue = lines.get(service);
    if (queue == null) {
      return;
    }
    for (QueueState.WaitTimes waiting : queue.waiting()) {
      WaitingClass waitingClass = new WaitingClass(waiting.urgency(), waiting.customer());
      int pending = pendingCounts.getOrDefault(new PendingKind(service, waitingClass), 0);
      int uncovered = waiting.waitedMs().size() - pending;
      if (uncovered > 0) {
        totals.merge(waitingClass, uncovered, Integer::sum);
      }
    }
  }

  boolean accepts(ServiceId service, UpstreamId upstream) {
    return !lines.get(service).unwanted().contains(upstream);
  }

  boolean isSlow(ServiceId service, UpstreamId upstream) {
    return lines.get(service).slow().contains(upstream);
  }

  /** Grants the VM a slot. */
  SlotAllocator.Grant grant(
      ServiceId service,
      UpstreamId upstream,
      Urgency urgency,
      Optional<CustomerId> customer,
      long nowNs) {
    lastSequence++;
    SlotAllocator.Grant grant =
        new SlotAllocator.Grant(id, lastSequence, service, upstream, urgency, customer);
    pendingGrants.addLast(new PendingGrant(grant, nowNs));
    ledger.totals(service).addGranted(grant);
    countPending(grant, 1);
    return grant;
  }

  private void removeFirstPending() {
    SlotAllocator.Grant grant = pendingGrants.removeFirst().grant();
    ledger.totals(grant.service()).removeGranted(grant);
    countPending(grant, -1);
  }

  private void countPending(SlotAllocator.Grant grant, int change) {
    ledger.upstreams().addUsed(grant.upstream(), change);
    ledger.upstreams().addUnread(grant.upstream(), change);
    WaitingClass waitingClass = new WaitingClass(grant.urgency(), grant.customer());
    PendingKind kind = new PendingKind(grant.service(), waitingClass);
    int count = pendingCounts.getOrDefault(kind, 0) + change;
    if (count == 0) {
      pendingCounts.remove(kind);
    } else {
      pendingCounts.put(kind, count);
    }
    for (CandidateIndex.Group group : groups.getOrDefault(grant.service(), List.of())) {
      if (group.waitingClass().equals(waitingClass)) {
        ledger.candidates(grant.service()).setNext(group, firstUncovered(group, count));
      }
    }
  }

  private void setInFlight(Map<UpstreamId, Integer> requests) {
    inFlight.forEach((upstream, count) -> ledger.upstreams().addUsed(upstream, -count));
    inFlight = requests;
    inFlight.forEach(ledger.upstreams()::addUsed);
  }

  private void setUnread(Set<UpstreamId> upstreams) {
    unread.forEach(upstream -> ledger.upstreams().addUnread(upstream, -1));
    unread = upstreams;
    unread.forEach(upstream -> ledger.upstreams().addUnread(upstream, 1));
  }

  private void setHeld(List<SlotUsage> usages) {
    held.forEach(usage -> ledger.totals(usage.service()).removeHeld(usage));
    held = usages;
    held.forEach(usage -> ledger.totals(usage.service()).addHeld(usage));
  }

  private void removeGroups() {
    groups.forEach((service, ofService) -> ofService.forEach(ledger.candidates(service)::remove));
    groups = Map.of();
    lines = Map.of();
  }

  private void addGroups(List<QueueState> queues) {
    lines = new HashMap<>();
    queues.forEach(queue -> lines.put(queue.service(), queue));
    groups = new HashMap<>();
    lines.values().forEach(this::addGroups);
  }

  private void addGroups(QueueState queue) {
    CandidateIndex index = ledger.candidates(queue.service());
    List<CandidateIndex.Group> ofService = new ArrayList<>(queue.waiting().size());
    for (QueueState.WaitTimes waiting : queue.waiting()) {
      CandidateIndex.Group group = new CandidateIndex.Group(waiting, ofService.size());
      ofService.add(group);
      index.add(group);
      PendingKind kind = new PendingKind(queue.service(), group.waitingClass());
      index.setNext(group, firstUncovered(group, pendingCounts.getOrDefault(kind, 0)));
    }
    groups.put(queue.service(), ofService);
  }

  /** Returns the first request of a group that is not covered by one of the pending grants. */
  private Optional<Candidate> firstUncovered(CandidateIndex.Group group, int pendingCount) {
    QueueState.WaitTimes waiting = group.waiting();
    if (pendingCount >= waiting.waitedMs().size()) {
      return Optional.empty();
    }
    long waitingSinceNs = queuesReportedNs - waiting.waitedMs().get(pendingCount) * NS_PER_MS;
    return Optional.of(new Candidate(this, waiting.urgency(), waiting.customer(), waitingSinceNs));
  }
}
