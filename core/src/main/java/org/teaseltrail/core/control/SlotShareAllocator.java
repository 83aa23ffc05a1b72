package org.teaseltrail.core.control;

import java.util.ArrayList;
import java.util.Collection;
import java.util.Comparator;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.TreeMap;
import java.util.stream.Collectors;
import org.teaseltrail.core.id.ServiceId;
import org.teaseltrail.core.id.UpstreamId;
import org.teaseltrail.core.id.VmId;
import org.teaseltrail.core.registry.Registration;
import org.teaseltrail.core.registry.RegistrationPhase;
import org.teaseltrail.core.registry.UpstreamRegistry;

/**
 * Deals the places of all upstreams out to the entry VMs, by what each has lately wanted, for the
 * time in which they hear from no leader.
 *
 * <p>Guards against engines that are filled far beyond their places while nobody leads: each VM
 * then knows only its own requests, all send what comes to the same upstreams, and first events
 * take five times as long. It shows as late answers at all VMs for as long as the leader is away. A
 * place belongs to one VM only, so all of them together never pass an upstream's places, whichever
 * of them go on.
 */
final class SlotShareAllocator {

  /** Time between two deals: VMs that were told before and after one overlap for one sync only. */
  private static final long REBALANCE_INTERVAL_NS = 1_000_000_000L;

  /** Weight of the newest count of what a VM wants: some eight syncs, two seconds, decide. */
  private static final double DEMAND_WEIGHT = 0.125;

  /** Part of a service's places that is dealt evenly: callers may turn to any VM at once. */
  private static final double EVEN_RATIO = 0.2;

  private record Ticket(VmId vm, double position) {}

  private final Map<VmId, Map<ServiceId, Double>> wants =
      new TreeMap<>(Comparator.comparing(VmId::value));
  private Map<VmId, Map<UpstreamId, Integer>> parts = Map.of();
  private long dealtNs;
  private long dealtRevision = -1;
  private int dealtVms;

  /** Takes how many requests a VM has at each service, waiting ones among them. */
  void heard(VmId vm, Map<ServiceId, Integer> wanted) {
    Map<ServiceId, Double> known = wants.computeIfAbsent(vm, id -> new HashMap<>());
    known.replaceAll((service, before) -> before * (1 - DEMAND_WEIGHT));
    wanted.forEach((service, count) -> known.merge(service, DEMAND_WEIGHT * count, Double::sum));
  }

  /** Takes a VM out that has fallen silent. */
  void removeVm(VmId vm) {
    wants.remove(vm);
  }

  /**
   * Returns the places that a VM may fill by itself.
   *
   * @param vm a VM that was heard of
   * @param registry the registrations
   * @param nowNs time
   * @return places by upstream, those without any left out
   */
  Map<UpstreamId, Integer> sharesOf(VmId vm, UpstreamRegistry registry, long nowNs) {
    boolean outdated = registry.revision() != dealtRevision || wants.size() != dealtVms;
    if (outdated || nowNs - dealtNs >= REBALANCE_INTERVAL_NS || !parts.containsKey(vm)) {
      deal(registry.present());
      dealtNs = nowNs;
      dealtRevision = registry.revision();
      dealtVms = wants.size();
    }
    return parts.getOrDefault(vm, Map.of());
  }

  private void deal(Collection<Registration> present) {
    Map<VmId, Map<UpstreamId, Integer>> dealt = new HashMap<>();
    wants.keySet().forEach(vm -> dealt.put(vm, new HashMap<>()));
    present.stream()
        .filter(upstream -> upstream.phase() == RegistrationPhase.READY)
        .collect(Collectors.groupingBy(Registration::service))
        .forEach((service, upstreams) -> deal(service, upstreams, dealt));
    parts = dealt;
  }

  private void deal(
      ServiceId service, List<Registration> upstreams, Map<VmId, Map<UpstreamId, Integer>> dealt) {
    List<UpstreamId> places = inLayers(upstreams);
    List<Ticket> tickets = tickets(service, places.size());
    for (int i = 0; i < tickets.size(); i++) {
      UpstreamId place = places.get(i % places.size());
      dealt.get(tickets.get(i).vm()).merge(place, 1, Integer::sum);
    }
  }

  /** Returns all places, the first of each upstream before the second of any. */
  private static List<UpstreamId> inLayers(List<Registration> upstreams) {
    List<UpstreamId> places = new ArrayList<>();
    int deepest = upstreams.stream().mapToInt(Registration::slots).max().orElse(0);
    for (int layer = 0; layer < deepest; layer++) {
      for (Registration upstream : upstreams) {
        if (upstream.slots() > layer) {
          places.add(upstream.id());
        }
      }
    }
    return places;
  }

  /**
   * Returns a ticket for each place, those of one VM as far apart as can be, so that its places are
   * at different upstreams. Each VM gets one at least, also where there are fewer places than VMs.
   */
  private List<Ticket> tickets(ServiceId service, int places) {
    if (places == 0 || wants.isEmpty()) {
      return List.of();
    }
    double even = 1.0 / wants.size();
    double total =
        wants.values().stream().mapToDouble(known -> known.getOrDefault(service, 0.0)).sum();
    List<Ticket> tickets = new ArrayList<>();
    double dealt = 0;
    double owed = 0;
    for (Map.Entry<VmId, Map<ServiceId, Double>> entry : wants.entrySet()) {
      double wanted = entry.getValue().getOrDefault(service, 0.0);
      double share = total > 0 ? EVEN_RATIO * even + (1 - EVEN_RATIO) * wanted / total : even;
      owed += share * places;
      long count = Math.max(1, Math.round(owed - dealt));
      dealt += count;
      for (int i = 0; i < count; i++) {
        tickets.add(new Ticket(entry.getKey(), (i + 0.5) / count));
      }
    }
    tickets.sort(Comparator.comparingDouble(Ticket::position));
    return tickets;
  }
}
