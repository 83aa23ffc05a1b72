package org.teaseltrail.core.control;

import java.util.ArrayList;
import java.util.Collection;
import java.util.Comparator;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.TreeMap;
import java.util.function.Predicate;
import java.util.stream.Collectors;
import org.teaseltrail.core.id.ServiceId;
import org.teaseltrail.core.id.UpstreamId;
import org.teaseltrail.core.id.VmId;
import org.teaseltrail.core.registry.Registration;
import org.teaseltrail.core.registry.RegistrationPhase;
import org.teaseltrail.core.registry.UpstreamRegistry;

/**
 * Divides the slots of all upstreams among the entry VMs, by each VM's recent demand: for the time
 * in which they have no connection to a leader, and as the slots that they use before they ask the
 * leader where slots are dealt.
 *
 * <p>While there is no leader, each VM knows only its own requests. Without shares all VMs would
 * send their requests to the same upstreams and fill them far beyond their slots; the first events
 * of streams would take five times as long until a leader is back. A slot is assigned to one VM
 * only, so all VMs together never exceed an upstream's slots, whichever of them keep running.
 */
final class SlotShareAllocator {

  /**
   * Interval between two divisions. VMs that were sent the old and the new shares overlap for one
   * sync interval only.
   */
  private static final long REBALANCE_INTERVAL_NS = 1_000_000_000L;

  /**
   * Weight of the newest sample in a VM's averaged demand: the last eight or so syncs, that is two
   * seconds, dominate.
   */
  private static final double DEMAND_WEIGHT = 0.125;

  /**
   * Fraction of a service's slots that is divided evenly, since callers may switch to any VM at any
   * time.
   */
  private static final double EVEN_RATIO = 0.2;

  /** Interval between two dealings while the leader allocates all slots: a usual sync interval. */
  private static final long CONTENDED_INTERVAL_NS = 250_000_000L;

  /**
   * Time without a sync after which a VM's slots are dealt to others, so that with the interval of
   * dealing they have an owner again within 3 s.
   */
  private static final long VM_TIMEOUT_NS = 1_500_000_000L;

  private record Ticket(VmId vm, double position) {}

  private final Map<VmId, Map<ServiceId, Double>> demands =
      new TreeMap<>(Comparator.comparing(VmId::value));
  private final Map<VmId, Map<UpstreamId, Integer>> inFlight = new HashMap<>();
  private final Map<VmId, Long> heardNs = new HashMap<>();
  private final Map<VmId, Map<UpstreamId, Integer>> sent = new HashMap<>();
  private final Set<UpstreamId> owned = new HashSet<>();
  private final Map<ServiceId, SlotDealer> dealers = new HashMap<>();
  private final Predicate<ServiceId> isDealt;
  private final Predicate<ServiceId> isContended;
  private final Predicate<ServiceId> isExclusive;
  private Map<VmId, Map<UpstreamId, Integer>> parts = Map.of();
  private long dividedNs;
  private long dealtByUseNs;
  private long dividedRevision = -1;
  private int dividedVms;

  /** Creates an allocator that deals no slots. */
  SlotShareAllocator() {
    this(service -> false, service -> false, service -> false);
  }

  /**
   * Creates an allocator that deals slots.
   *
   * @param isDealt whether slots of a service are dealt
   * @param isContended whether the leader allocates all slots of such a service at present
   * @param isExclusive whether no two VMs may have the same slot of a service, even if there are
   *     fewer slots than VMs
   */
  SlotShareAllocator(
      Predicate<ServiceId> isDealt,
      Predicate<ServiceId> isContended,
      Predicate<ServiceId> isExclusive) {
    this.isDealt = isDealt;
    this.isContended = isContended;
    this.isExclusive = isExclusive;
  }

  /** Records a VM's requests at upstreams. */
  void recordInFlight(VmId vm, Map<UpstreamId, Integer> requests) {
    inFlight.put(vm, requests);
  }

  /** Adds a sample of a VM's demand: its requests for each service, including waiting ones. */
  void heard(VmId vm, Map<ServiceId, Integer> wanted) {
    Map<ServiceId, Double> demand = demands.computeIfAbsent(vm, id -> new HashMap<>());
    demand.replaceAll((service, before) -> before * (1 - DEMAND_WEIGHT));
    wanted.forEach((service, count) -> demand.merge(service, DEMAND_WEIGHT * count, Double::sum));
  }

  /** Removes a VM whose syncs have timed out. */
  void removeVm(VmId vm) {
    demands.remove(vm);
    inFlight.remove(vm);
    heardNs.remove(vm);
    sent.remove(vm);
  }

  /**
   * Returns the slots that a VM may use without a leader.
   *
   * @param vm a VM that has sent a sync
   * @param registry the registrations
   * @param nowNs time
   * @return number of slots by upstream; upstreams without any are omitted
   */
  Map<UpstreamId, Integer> sharesOf(VmId vm, UpstreamRegistry registry, long nowNs) {
    return sharesOf(vm, registry, upstream -> true, 0, nowNs);
  }

  /**
   * Like {@link #sharesOf(VmId, UpstreamRegistry, long)}, during rollouts.
   *
   * @param acceptsTraffic whether an upstream's slots may be dealt
   * @param rolloutRevision number of changes of the rollouts so far
   */
  Map<UpstreamId, Integer> sharesOf(
      VmId vm,
      UpstreamRegistry registry,
      Predicate<Registration> acceptsTraffic,
      long rolloutRevision,
      long nowNs) {
    heardNs.put(vm, nowNs);
    long revision = registry.revision() + rolloutRevision;
    boolean isOutdated = revision != dividedRevision || demands.size() != dividedVms;
    if (isOutdated || nowNs - dividedNs >= REBALANCE_INTERVAL_NS || !parts.containsKey(vm)) {
      divide(registry.present(), acceptsTraffic, nowNs);
      dividedNs = nowNs;
      dividedRevision = revision;
      dividedVms = demands.size();
    } else if (nowNs - dealtByUseNs >= CONTENDED_INTERVAL_NS) {
      dealByUse(registry.present(), acceptsTraffic, nowNs);
    }
    Map<UpstreamId, Integer> own = parts.getOrDefault(vm, Map.of());
    recordSent(vm, own);
    return own;
  }

  /** Records the slots that a VM owns alone; shares of too few slots overlap anyway. */
  private void recordSent(VmId vm, Map<UpstreamId, Integer> own) {
    if (owned.isEmpty()) {
      sent.remove(vm);
      return;
    }
    Map<UpstreamId, Integer> ownedByVm = new HashMap<>(own);
    ownedByVm.keySet().retainAll(owned);
    sent.put(vm, ownedByVm);
  }

  /**
   * Returns the dealt slots that a VM goes on using if the leader falls silent: those that it was
   * sent last, which may be older than those that were dealt last.
   */
  Map<UpstreamId, Integer> sentTo(VmId vm) {
    return sent.getOrDefault(vm, Map.of());
  }

  /** Returns the number of slots of an upstream that were dealt to a VM last. */
  int dealtAt(VmId vm, UpstreamId upstream) {
    return parts.getOrDefault(vm, Map.of()).getOrDefault(upstream, 0);
  }

  private void divide(
      Collection<Registration> present, Predicate<Registration> acceptsTraffic, long nowNs) {
    owned.clear();
    Map<VmId, Map<UpstreamId, Integer>> assigned = new HashMap<>();
    demands.keySet().forEach(vm -> assigned.put(vm, new HashMap<>()));
    present.stream()
        .filter(upstream -> upstream.phase() == RegistrationPhase.READY)
        .collect(Collectors.groupingBy(Registration::service))
        .forEach(
            (service, upstreams) -> {
              int slots =
                  upstreams.stream().filter(acceptsTraffic).mapToInt(Registration::slots).sum();
              boolean isEnough = slots >= demands.size() || isExclusive.test(service);
              if (isDealt.test(service) && isEnough) {
                deal(service, upstreams.stream().filter(acceptsTraffic).toList(), assigned, nowNs);
              } else {
                divideInTurns(service, upstreams, assigned);
              }
            });
    parts = assigned;
  }

  /** Deals the slots of those services anew whose slots the leader allocates. */
  private void dealByUse(
      Collection<Registration> present, Predicate<Registration> acceptsTraffic, long nowNs) {
    dealtByUseNs = nowNs;
    for (ServiceId service : dealers.keySet()) {
      if (isDealt.test(service) && isContended.test(service)) {
        List<Registration> upstreams =
            present.stream()
                .filter(upstream -> upstream.service().equals(service))
                .filter(upstream -> upstream.phase() == RegistrationPhase.READY)
                .filter(acceptsTraffic)
                .toList();
        for (Map<UpstreamId, Integer> held : parts.values()) {
          upstreams.forEach(upstream -> held.remove(upstream.id()));
        }
        deal(service, upstreams, parts, nowNs);
      }
    }
  }

  private void deal(
      ServiceId service,
      List<Registration> upstreams,
      Map<VmId, Map<UpstreamId, Integer>> assigned,
      long nowNs) {
    List<VmId> present =
        demands.keySet().stream()
            .filter(vm -> nowNs - heardNs.getOrDefault(vm, nowNs) <= VM_TIMEOUT_NS)
            .toList();
    upstreams.forEach(upstream -> owned.add(upstream.id()));
    int slots = upstreams.stream().mapToInt(Registration::slots).sum();
    SlotDealer dealer = dealers.computeIfAbsent(service, key -> new SlotDealer());
    Map<VmId, Double> targets = targets(service, present, slots);
    Map<VmId, Map<UpstreamId, Integer>> dealt =
        isContended.test(service)
            ? dealer.dealByUse(upstreams, targets, inFlight)
            : dealer.deal(upstreams, targets, inFlight);
    dealt.forEach((vm, held) -> assigned.computeIfAbsent(vm, key -> new HashMap<>()).putAll(held));
    if (!isExclusive.test(service)) {
      shareWithThoseWithoutSlots(upstreams, dealt, assigned);
    }
  }

  /**
   * Gives each VM that was dealt no slot one that it shares with others. While there is no leader,
   * its callers would otherwise wait although upstreams have room.
   */
  private static void shareWithThoseWithoutSlots(
      List<Registration> upstreams,
      Map<VmId, Map<UpstreamId, Integer>> dealt,
      Map<VmId, Map<UpstreamId, Integer>> assigned) {
    int next = 0;
    for (Map.Entry<VmId, Map<UpstreamId, Integer>> entry : dealt.entrySet()) {
      if (entry.getValue().isEmpty() && !upstreams.isEmpty()) {
        assigned.get(entry.getKey()).put(upstreams.get(next % upstreams.size()).id(), 1);
        next++;
      }
    }
  }

  /**
   * Returns how many slots each VM is to have: one if possible, and its part of the others by its
   * demand.
   */
  private Map<VmId, Double> targets(ServiceId service, List<VmId> present, int slots) {
    Map<VmId, Double> targets = new TreeMap<>(Comparator.comparing(VmId::value));
    double total = present.stream().mapToDouble(vm -> demand(vm, service)).sum();
    double least = Math.min(1, (double) slots / Math.max(1, present.size()));
    double shared = Math.max(0, slots - present.size());
    for (VmId vm : present) {
      double evenShare = 1.0 / present.size();
      double share =
          total > 0
              ? EVEN_RATIO * evenShare + (1 - EVEN_RATIO) * demand(vm, service) / total
              : evenShare;
      targets.put(vm, least + share * shared);
    }
    return targets;
  }

  private double demand(VmId vm, ServiceId service) {
    return demands.get(vm).getOrDefault(service, 0.0);
  }

  private void divideInTurns(
      ServiceId service,
      List<Registration> upstreams,
      Map<VmId, Map<UpstreamId, Integer>> assigned) {
    List<UpstreamId> places = inRounds(upstreams);
    List<Ticket> tickets = tickets(service, places.size());
    for (int i = 0; i < tickets.size(); i++) {
      UpstreamId slot = places.get(i % places.size());
      assigned.get(tickets.get(i).vm()).merge(slot, 1, Integer::sum);
    }
  }

  /**
   * Returns all slots in rounds: the first slot of each upstream comes before the second slot of
   * any.
   */
  private static List<UpstreamId> inRounds(List<Registration> upstreams) {
    List<UpstreamId> places = new ArrayList<>();
    int maxSlots = upstreams.stream().mapToInt(Registration::slots).max().orElse(0);
    for (int slotIndex = 0; slotIndex < maxSlots; slotIndex++) {
      for (Registration upstream : upstreams) {
        if (upstream.slots() > slotIndex) {
          places.add(upstream.id());
        }
      }
    }
    return places;
  }

  /**
   * Returns a ticket for each slot. The tickets of one VM are spread as evenly as possible, so that
   * its slots are at different upstreams. Each VM gets at least one, even if there are fewer slots
   * than VMs.
   */
  private List<Ticket> tickets(ServiceId service, int places) {
    if (places == 0 || demands.isEmpty()) {
      return List.of();
    }
    double evenShare = 1.0 / demands.size();
    double total =
        demands.values().stream().mapToDouble(demand -> demand.getOrDefault(service, 0.0)).sum();
    List<Ticket> tickets = new ArrayList<>();
    double assigned = 0;
    double entitled = 0;
    for (Map.Entry<VmId, Map<ServiceId, Double>> entry : demands.entrySet()) {
      double wanted = entry.getValue().getOrDefault(service, 0.0);
      double share =
          total > 0 ? EVEN_RATIO * evenShare + (1 - EVEN_RATIO) * wanted / total : evenShare;
      entitled += share * places;
      long count = Math.max(1, Math.round(entitled - assigned));
      assigned += count;
      for (int i = 0; i < count; i++) {
        tickets.add(new Ticket(entry.getKey(), (i + 0.5) / count));
      }
    }
    tickets.sort(Comparator.comparingDouble(Ticket::position));
    return tickets;
  }
}
