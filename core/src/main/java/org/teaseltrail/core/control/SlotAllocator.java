package org.teaseltrail.core.control;

import java.util.ArrayList;
import java.util.Collection;
import java.util.Comparator;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import java.util.TreeMap;
import java.util.stream.Collectors;
import org.teaseltrail.core.id.ServiceId;
import org.teaseltrail.core.id.UpstreamId;
import org.teaseltrail.core.id.VmId;
import org.teaseltrail.core.registry.Registration;
import org.teaseltrail.core.registry.RegistrationPhase;
import org.teaseltrail.core.serving.QueueState;
import org.teaseltrail.core.serving.ServingMessage;
import org.teaseltrail.core.serving.Urgency;

/**
 * Hands out, on the leader, free places at engines while requests wait for them, the most urgent
 * first over all entry VMs.
 *
 * <p>Guards against an order that holds at each VM but not over all: whichever VM's request ends
 * would take the place, though something more urgent waits at another; and all VMs would send what
 * waits to an upstream that has just come, far beyond its places. A VM tells its line and what it
 * has at each upstream with every change, so a place is known to be free a round trip later.
 *
 * <p>A place that was handed out counts as taken until the VM has told what it did with it.
 */
final class SlotAllocator {

  /**
   * Time without a waiting request after which VMs place by themselves again; two of a VM's usual
   * syncs.
   */
  private static final long CONTENTION_TIMEOUT_NS = 500_000_000L;

  /**
   * Of so many places, one goes to a less urgent kind of request that waits. Guards against a kind
   * of request that is never served while there is more load than fits: the users want each kind to
   * get at least two fifths of what it is owed.
   */
  private static final long LESS_URGENT_INTERVAL = 4;

  /**
   * Part of a service's places that one kind of request may hold before it gets no such turn.
   * Guards against a kind that is the least urgent and holds its places the longest: by turns alone
   * it comes to hold most of them. With places held four times as long, a quarter of the grants is
   * more than half of the places.
   */
  private static final double LESS_URGENT_MAX_RATIO = 0.25;

  /**
   * Is a place handed out to a VM.
   *
   * @param vm who may use it
   * @param sequence grows with each grant to that VM
   * @param service whose requests may use it
   * @param upstream where it is
   * @param urgency that of the request it is meant for
   */
  record Grant(VmId vm, long sequence, ServiceId service, UpstreamId upstream, Urgency urgency) {}

  private static final Comparator<EntryVmSlotState.Candidate> MOST_URGENT_FIRST =
      Comparator.comparing(EntryVmSlotState.Candidate::urgency)
          .thenComparingLong(EntryVmSlotState.Candidate::waitingSinceNs);

  private static final Comparator<EntryVmSlotState.Candidate> LEAST_URGENT_FIRST =
      Comparator.comparing(EntryVmSlotState.Candidate::urgency)
          .reversed()
          .thenComparingLong(EntryVmSlotState.Candidate::waitingSinceNs);

  private final Map<VmId, EntryVmSlotState> vms = new TreeMap<>(Comparator.comparing(VmId::value));
  private final Map<ServiceId, Long> granted = new HashMap<>();
  private final Map<ServiceId, Long> contendedUntilNs = new HashMap<>();

  /** Takes what a VM has at each upstream. */
  void heard(VmId id, Map<UpstreamId, Integer> inFlight, long nowNs) {
    vms.computeIfAbsent(id, EntryVmSlotState::new).heard(inFlight, nowNs);
  }

  /** Takes what waits at a VM. */
  void lines(ServingMessage.Lines message, long nowNs) {
    vms.computeIfAbsent(message.vm(), EntryVmSlotState::new).recordReport(message, nowNs);
    for (QueueState line : message.lines()) {
      contendedUntilNs.put(line.service(), nowNs + CONTENTION_TIMEOUT_NS);
    }
  }

  /** Returns how many requests wait at a VM for each service. */
  Map<ServiceId, Integer> waiting(VmId id) {
    EntryVmSlotState vm = vms.get(id);
    return vm == null ? new HashMap<>() : vm.waiting();
  }

  /** Takes a VM out that has fallen silent. */
  void removeVm(VmId id) {
    vms.remove(id);
  }

  /** Returns the services whose places are handed out here. */
  Set<ServiceId> contended(long nowNs) {
    contendedUntilNs.values().removeIf(untilNs -> nowNs >= untilNs);
    return Set.copyOf(contendedUntilNs.keySet());
  }

  /**
   * Hands out what is free.
   *
   * @param service a service of engines
   * @param upstreams its upstreams
   * @param nowNs time
   * @return a grant for each place
   */
  List<Grant> allocate(ServiceId service, Collection<Registration> upstreams, long nowNs) {
    vms.values().forEach(vm -> vm.removeLostGrants(nowNs));
    if (vms.values().stream().noneMatch(vm -> vm.hasQueue(service))) {
      return List.of();
    }
    SlotUsageTotals tally = new SlotUsageTotals(vms.values(), service);
    Map<UpstreamId, Integer> free = free(upstreams, tally);
    if (free.isEmpty()) {
      return List.of();
    }
    List<Grant> grants = new ArrayList<>();
    Set<VmId> passedOver = silent(nowNs);
    double othersMost = LESS_URGENT_MAX_RATIO * places(upstreams);
    Optional<EntryVmSlotState.Candidate> next = next(service, othersMost, tally, passedOver);
    while (next.isPresent() && !free.isEmpty()) {
      EntryVmSlotState.Candidate candidate = next.get();
      Optional<UpstreamId> place = emptiest(service, candidate.vm(), free, tally);
      if (place.isPresent()) {
        Grant grant = grant(candidate, service, place.get(), nowNs);
        grants.add(grant);
        tally.granted(grant, service);
        free.computeIfPresent(place.get(), (id, places) -> places > 1 ? places - 1 : null);
      } else {
        passedOver.add(candidate.vm().id());
      }
      next = next(service, othersMost, tally, passedOver);
    }
    return grants;
  }

  private Set<VmId> silent(long nowNs) {
    return vms.values().stream()
        .filter(vm -> vm.isSilent(nowNs))
        .map(EntryVmSlotState::id)
        .collect(Collectors.toCollection(HashSet::new));
  }

  private Map<UpstreamId, Integer> free(Collection<Registration> upstreams, SlotUsageTotals tally) {
    Map<UpstreamId, Integer> free = new HashMap<>();
    for (Registration upstream : upstreams) {
      int places = upstream.slots() - tally.usedAt(upstream.id());
      if (upstream.phase() == RegistrationPhase.READY && places > 0) {
        free.put(upstream.id(), places);
      }
    }
    return free;
  }

  private static int places(Collection<Registration> upstreams) {
    return upstreams.stream()
        .filter(upstream -> upstream.phase() == RegistrationPhase.READY)
        .mapToInt(Registration::slots)
        .sum();
  }

  private Optional<EntryVmSlotState.Candidate> next(
      ServiceId service, double othersMost, SlotUsageTotals tally, Set<VmId> passedOver) {
    List<EntryVmSlotState.Candidate> candidates = new ArrayList<>();
    vms.forEach(
        (id, vm) -> {
          if (!passedOver.contains(id)) {
            candidates.addAll(vm.candidates(service));
          }
        });
    Optional<EntryVmSlotState.Candidate> first = candidates.stream().min(MOST_URGENT_FIRST);
    boolean othersTurn =
        granted.getOrDefault(service, 0L) % LESS_URGENT_INTERVAL == LESS_URGENT_INTERVAL - 1;
    if (!othersTurn || first.isEmpty()) {
      return first;
    }
    return lessUrgentKind(othersMost, tally, candidates, first.get().urgency()).or(() -> first);
  }

  /**
   * Returns a candidate of the least urgent route among those that are like the first otherwise and
   * whose kind holds few places.
   */
  private Optional<EntryVmSlotState.Candidate> lessUrgentKind(
      double othersMost,
      SlotUsageTotals tally,
      List<EntryVmSlotState.Candidate> candidates,
      Urgency first) {
    return candidates.stream()
        .filter(each -> each.urgency().customerRank() == first.customerRank())
        .filter(each -> each.urgency().late() == first.late())
        .filter(each -> tally.usedByKind(each.urgency().routeRank()) < othersMost)
        .min(LEAST_URGENT_FIRST);
  }

  private Optional<UpstreamId> emptiest(
      ServiceId service,
      EntryVmSlotState vm,
      Map<UpstreamId, Integer> free,
      SlotUsageTotals tally) {
    return free.entrySet().stream()
        .filter(entry -> vm.accepts(service, entry.getKey()))
        .filter(
            entry -> !vm.isSlow(service, entry.getKey()) || !tally.hasUnreadPrompt(entry.getKey()))
        .max(Map.Entry.comparingByValue())
        .map(Map.Entry::getKey);
  }

  private Grant grant(
      EntryVmSlotState.Candidate candidate, ServiceId service, UpstreamId upstream, long nowNs) {
    granted.merge(service, 1L, Long::sum);
    return candidate.vm().grant(service, upstream, candidate.urgency(), nowNs);
  }
}
