package org.teaseltrail.core.control;

import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.Collection;
import java.util.Comparator;
import java.util.Deque;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import java.util.function.Predicate;
import java.util.function.Supplier;
import org.teaseltrail.core.collection.OrderedCopies;
import org.teaseltrail.core.id.CustomerId;
import org.teaseltrail.core.id.ServiceId;
import org.teaseltrail.core.id.UpstreamId;
import org.teaseltrail.core.id.VmId;
import org.teaseltrail.core.registry.Registration;
import org.teaseltrail.core.registry.RegistrationPhase;
import org.teaseltrail.core.serving.QueueState;
import org.teaseltrail.core.serving.ServingMessage;
import org.teaseltrail.core.serving.Urgency;

/**
 * Allocates, on the leader, free slots of engines to waiting requests, the most urgent first across
 * all entry VMs.
 *
 * <p>If each VM ordered only its own requests, the VM whose request ends would reuse the slot
 * although a more urgent request waits at another VM, and all VMs would send their waiting requests
 * to a new upstream, far beyond its slots. A VM reports its queue and its requests at each upstream
 * with every change, so the leader learns of a free slot one round trip later.
 *
 * <p>A granted slot counts as in use until the VM has reported whether it used the grant.
 */
final class SlotAllocator {

  /**
   * Time without a waiting request after which VMs place requests by themselves again: two usual
   * sync intervals of a VM.
   */
  private static final long CONTENTION_TIMEOUT_NS = 500_000_000L;

  /**
   * A slot granted to a VM.
   *
   * @param vm the VM that may use it
   * @param sequence increases with each grant to that VM
   * @param service the service whose requests may use it
   * @param upstream the upstream that has the slot
   * @param urgency urgency of the request for which it is granted
   * @param customer customer of that request, if slots are shared between customers
   */
  record Grant(
      VmId vm,
      long sequence,
      ServiceId service,
      UpstreamId upstream,
      Urgency urgency,
      Optional<CustomerId> customer) {}

  private record GrantTime(EntryVmSlotState vm, long atNs) {}

  private final GrantOrder order;
  private final DealtSlots dealtSlots;
  private final SlotLedger ledger = new SlotLedger();
  private final Map<VmId, EntryVmSlotState> vms = new HashMap<>();
  private final Deque<GrantTime> grantTimes = new ArrayDeque<>();
  private final Map<ServiceId, Long> contendedUntilByServiceNs = new HashMap<>();

  /** Tells which slots VMs use without asking. */
  interface DealtSlots {

    /** Slots of no service are dealt. */
    DealtSlots NONE =
        new DealtSlots() {
          @Override
          public boolean isDealt(ServiceId service) {
            return false;
          }

          @Override
          public boolean areUsedByVms(ServiceId service) {
            return false;
          }

          @Override
          public int count(VmId vm, UpstreamId upstream) {
            return 0;
          }

          @Override
          public Map<UpstreamId, Integer> sentTo(VmId vm) {
            return Map.of();
          }
        };

    /** Returns whether the slots of a service are dealt. */
    boolean isDealt(ServiceId service);

    /**
     * Returns whether VMs use their slots by themselves, so that the reports don't show all slots
     * in use.
     */
    boolean areUsedByVms(ServiceId service);

    /** Returns the number of slots of an upstream that were dealt to a VM. */
    int count(VmId vm, UpstreamId upstream);

    /** Returns the slots that a VM was told last to be dealt to it. */
    Map<UpstreamId, Integer> sentTo(VmId vm);
  }

  /** Creates an allocator that grants slots in the given order. */
  SlotAllocator(GrantOrder order) {
    this(order, DealtSlots.NONE);
  }

  /** Creates an allocator that grants slots in the given order, some of which are dealt. */
  SlotAllocator(GrantOrder order, DealtSlots dealtSlots) {
    this.order = order;
    this.dealtSlots = dealtSlots;
  }

  /** Records a VM's requests in flight by upstream. */
  void heard(VmId id, Map<UpstreamId, Integer> inFlight, long nowNs) {
    vm(id).heard(inFlight, nowNs);
  }

  /** Records a VM's queues. */
  void lines(ServingMessage.Lines message, long nowNs) {
    vm(message.vm()).recordReport(message, nowNs);
    for (QueueState queue : message.lines()) {
      contendedUntilByServiceNs.put(queue.service(), nowNs + CONTENTION_TIMEOUT_NS);
    }
  }

  /** Returns the number of requests that wait at a VM for each service. */
  Map<ServiceId, Integer> waiting(VmId id) {
    EntryVmSlotState vm = vms.get(id);
    return vm == null ? new HashMap<>() : vm.waiting();
  }

  /** Returns the services for which a VM has reported waiting requests. */
  Set<ServiceId> queued() {
    return ledger.queuedServices();
  }

  /** Returns whether requests wait, at a VM that reports, without a pending grant. */
  boolean hasUngranted(ServiceId service, long nowNs) {
    return !ledger.candidates(service).longestWaiting(vm -> !vm.isSilent(nowNs)).isEmpty();
  }

  /** Returns the requests of a service that wait at all VMs and have no slot yet, by class. */
  Map<WaitingClass, Integer> ungrantedByClass(ServiceId service, long nowNs) {
    Map<WaitingClass, Integer> waiting = new HashMap<>();
    vms.values().stream()
        .filter(vm -> !vm.isSilent(nowNs))
        .forEach(vm -> vm.addWaitingTo(waiting, service));
    return waiting;
  }

  /** Returns the number of requests in flight or granted at each of a service's upstreams. */
  Map<UpstreamId, Integer> inFlight(ServiceId service, Collection<Registration> upstreams) {
    SlotUsageTotals totals = ledger.totals(service);
    Map<UpstreamId, Integer> inFlight = new HashMap<>();
    upstreams.forEach(upstream -> inFlight.put(upstream.id(), totals.usedAt(upstream.id())));
    return inFlight;
  }

  /** Removes a VM whose syncs have timed out. */
  void removeVm(VmId id) {
    EntryVmSlotState removed = vms.remove(id);
    if (removed != null) {
      removed.remove();
    }
  }

  /**
   * Returns the number of requests that wait at all VMs for a service, including those that were
   * granted a slot of which the VM has not reported yet.
   */
  Map<WaitingClass, Integer> waitingByClass(ServiceId service) {
    return ledger.candidates(service).sizes();
  }

  /** Returns the slots of a service that are in use or granted. */
  SlotUsageTotals totals(ServiceId service) {
    return ledger.totals(service);
  }

  /** Returns the services whose slots the leader allocates. */
  Set<ServiceId> contended(long nowNs) {
    contendedUntilByServiceNs.values().removeIf(untilNs -> nowNs >= untilNs);
    return OrderedCopies.setOf(contendedUntilByServiceNs.keySet());
  }

  /**
   * Allocates the free slots of a service.
   *
   * @param service a service of engines
   * @param upstreams its upstreams
   * @param nowNs time
   * @return a grant for each allocated slot
   */
  List<Grant> allocate(ServiceId service, Collection<Registration> upstreams, long nowNs) {
    return allocate(service, upstreams, Optional::empty, nowNs);
  }

  /**
   * Like {@link #allocate}, with the upstreams selected by their conditions if there is a selector;
   * it is created only if there are slots to allocate.
   */
  List<Grant> allocate(
      ServiceId service,
      Collection<Registration> upstreams,
      Supplier<Optional<GrantUpstreamSelector>> selectorFactory,
      long nowNs) {
    removeLostGrants(nowNs);
    CandidateIndex candidates = ledger.candidates(service);
    if (candidates.isEmpty()) {
      return List.of();
    }
    SlotUsageTotals totals = ledger.totals(service);
    Map<UpstreamId, Integer> free = freeSlots(upstreams, totals);
    if (free.isEmpty()) {
      return List.of();
    }
    Optional<DealtSlotOrder> dealt =
        dealtSlots.isDealt(service)
            ? Optional.of(new DealtSlotOrder(service, dealtSlots, vms.values(), upstreams))
            : Optional.empty();
    List<Grant> grants = new ArrayList<>();
    Optional<GrantUpstreamSelector> selector = selectorFactory.get();
    Set<VmId> skippedVms = new HashSet<>();
    int slotCount = places(upstreams);
    Predicate<EntryVmSlotState> isEligible =
        vm -> !vm.isSilent(nowNs) && !skippedVms.contains(vm.id());
    Optional<EntryVmSlotState.Candidate> next =
        order.next(service, candidates.longestWaiting(isEligible), totals, slotCount);
    while (next.isPresent() && !free.isEmpty()) {
      EntryVmSlotState.Candidate candidate = next.get();
      Optional<UpstreamId> upstreamId =
          selector.isPresent()
              ? findSoonest(service, candidate.vm(), free, totals, selector.get(), dealt)
              : findBest(service, candidate.vm(), free, totals, dealt);
      if (upstreamId.isPresent()) {
        Grant grant = grant(candidate, service, upstreamId.get(), nowNs);
        grants.add(grant);
        dealt.ifPresent(each -> each.granted(grant.vm(), grant.upstream()));
        free.computeIfPresent(upstreamId.get(), (id, places) -> places > 1 ? places - 1 : null);
      } else {
        skippedVms.add(candidate.vm().id());
      }
      next =
          free.isEmpty()
              ? Optional.empty()
              : order.next(service, candidates.longestWaiting(isEligible), totals, slotCount);
    }
    return grants;
  }

  private EntryVmSlotState vm(VmId id) {
    return vms.computeIfAbsent(id, key -> new EntryVmSlotState(key, ledger));
  }

  /** Removes the grants that no VM has reported on in time; those of a removed VM are gone. */
  private void removeLostGrants(long nowNs) {
    while (!grantTimes.isEmpty() && EntryVmSlotState.isLost(grantTimes.peekFirst().atNs(), nowNs)) {
      grantTimes.removeFirst().vm().removeLostGrants(nowNs);
    }
  }

  private static Map<UpstreamId, Integer> freeSlots(
      Collection<Registration> upstreams, SlotUsageTotals totals) {
    Map<UpstreamId, Integer> free = new HashMap<>();
    for (Registration upstream : upstreams) {
      if (upstream.phase() == RegistrationPhase.READY) {
        int places = upstream.slots() - totals.usedAt(upstream.id());
        if (places > 0) {
          free.put(upstream.id(), places);
        }
      }
    }
    return free;
  }

  private static int places(Collection<Registration> upstreams) {
    int places = 0;
    for (Registration upstream : upstreams) {
      places += upstream.phase() == RegistrationPhase.READY ? upstream.slots() : 0;
    }
    return places;
  }

  private Optional<UpstreamId> findSoonest(
      ServiceId service,
      EntryVmSlotState vm,
      Map<UpstreamId, Integer> free,
      SlotUsageTotals totals,
      GrantUpstreamSelector selector,
      Optional<DealtSlotOrder> dealt) {
    Predicate<UpstreamId> accepted = id -> vm.accepts(service, id) && hasRoom(vm, id, dealt);
    int leastBeyond =
        dealt
            .map(each -> each.leastBeyond(vm.id(), free.keySet(), accepted))
            .orElse(Integer.MAX_VALUE);
    return selector.select(
        free.entrySet().stream()
            .filter(entry -> accepted.test(entry.getKey()))
            .filter(
                entry ->
                    dealt.isEmpty()
                        || dealt.get().beyondWith(vm.id(), entry.getKey()) <= leastBeyond)
            .map(
                entry ->
                    new GrantUpstreamSelector.FreeUpstream(
                        entry.getKey(), entry.getValue(), totals.hasUnreadPrompt(entry.getKey()))));
  }

  private Optional<UpstreamId> findBest(
      ServiceId service,
      EntryVmSlotState vm,
      Map<UpstreamId, Integer> free,
      SlotUsageTotals totals,
      Optional<DealtSlotOrder> dealt) {
    Comparator<Map.Entry<UpstreamId, Integer>> worstFirst =
        dealt.map(each -> each.worstFirst(vm.id())).orElse(Map.Entry.comparingByValue());
    return free.entrySet().stream()
        .filter(entry -> vm.accepts(service, entry.getKey()))
        .filter(entry -> hasRoom(vm, entry.getKey(), dealt))
        .filter(
            entry -> !vm.isSlow(service, entry.getKey()) || !totals.hasUnreadPrompt(entry.getKey()))
        .max(worstFirst)
        .map(Map.Entry::getKey);
  }

  private static boolean hasRoom(
      EntryVmSlotState vm, UpstreamId upstream, Optional<DealtSlotOrder> dealt) {
    return dealt.map(each -> each.hasRoom(vm.id(), upstream)).orElse(true);
  }

  private Grant grant(
      EntryVmSlotState.Candidate candidate, ServiceId service, UpstreamId upstream, long nowNs) {
    order.granted(service, candidate);
    grantTimes.addLast(new GrantTime(candidate.vm(), nowNs));
    return candidate
        .vm()
        .grant(service, upstream, candidate.urgency(), candidate.customer(), nowNs);
  }
}
