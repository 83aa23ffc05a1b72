package org.teaseltrail.core.control;

import java.util.ArrayList;
import java.util.Collection;
import java.util.Comparator;
import java.util.HashMap;
import java.util.HashSet;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import java.util.TreeMap;
import org.teaseltrail.core.id.UpstreamId;
import org.teaseltrail.core.id.VmId;
import org.teaseltrail.core.registry.Registration;

/**
 * Deals the slots of one service to the entry VMs, and changes few of them when a VM, an upstream
 * or the demand changes.
 *
 * <p>A slot belongs to at most one VM. A VM's slots are at as many upstreams as possible, so that
 * the loss of one upstream costs each VM little. Slots that a VM's requests occupy are dealt to
 * that VM first: a new leader, which doesn't know how its predecessor dealt, deals no slot that is
 * in use to another VM.
 */
final class SlotDealer {

  /**
   * Difference between two VMs' deviations from their targets, in slots, from which on a slot
   * changes hands. A difference of one remains between targets that are no whole numbers.
   */
  private static final double MOVE_THRESHOLD = 2;

  private final Map<VmId, Map<UpstreamId, Integer>> dealt =
      new TreeMap<>(Comparator.comparing(VmId::value));
  private final Map<UpstreamId, Integer> free = new LinkedHashMap<>();
  private Map<VmId, Double> targets = Map.of();
  private Map<VmId, Map<UpstreamId, Integer>> inFlight = Map.of();

  /**
   * Deals the slots anew.
   *
   * @param upstreams the service's upstreams
   * @param newTargets number of slots that each VM is to have; the sum is at most the number of
   *     slots
   * @param newInFlight each VM's requests at upstreams
   * @return the number of slots of each VM by upstream
   */
  Map<VmId, Map<UpstreamId, Integer>> deal(
      Collection<Registration> upstreams,
      Map<VmId, Double> newTargets,
      Map<VmId, Map<UpstreamId, Integer>> newInFlight) {
    return dealUpTo(-1, upstreams, newTargets, newInFlight);
  }

  /**
   * Deals the slots anew while the leader allocates all of them: VMs get the slots that they
   * occupy. If the leader falls silent, each then continues with these, and no engine gets the
   * requests of other VMs in addition.
   */
  Map<VmId, Map<UpstreamId, Integer>> dealByUse(
      Collection<Registration> upstreams,
      Map<VmId, Double> newTargets,
      Map<VmId, Map<UpstreamId, Integer>> newInFlight) {
    dealt.values().forEach(Map::clear);
    return dealUpTo(Double.POSITIVE_INFINITY, upstreams, newTargets, newInFlight);
  }

  private Map<VmId, Map<UpstreamId, Integer>> dealUpTo(
      double maxDeviation,
      Collection<Registration> upstreams,
      Map<VmId, Double> newTargets,
      Map<VmId, Map<UpstreamId, Integer>> newInFlight) {
    targets = newTargets;
    inFlight = newInFlight;
    dealt.keySet().retainAll(targets.keySet());
    targets.keySet().forEach(vm -> dealt.computeIfAbsent(vm, key -> new HashMap<>()));
    withdraw(upstreams);
    dealOccupied(maxDeviation);
    dealFree();
    moveSurplus();
    return dealt;
  }

  /** Withdraws slots that no longer exist, and determines those that nobody has. */
  private void withdraw(Collection<Registration> upstreams) {
    free.clear();
    upstreams.forEach(upstream -> free.put(upstream.id(), upstream.slots()));
    for (Map<UpstreamId, Integer> held : dealt.values()) {
      held.keySet().retainAll(free.keySet());
      held.replaceAll((id, count) -> Math.min(count, free.get(id)));
      held.values().removeIf(count -> count == 0);
      held.forEach((id, count) -> free.merge(id, -count, Integer::sum));
    }
    free.values().removeIf(count -> count == 0);
  }

  private void dealOccupied(double maxDeviation) {
    dealt.forEach(
        (vm, held) ->
            inFlight
                .getOrDefault(vm, Map.of())
                .forEach(
                    (upstream, count) -> {
                      int missing = count - held.getOrDefault(upstream, 0);
                      while (missing > 0
                          && free.containsKey(upstream)
                          && deviation(vm) <= maxDeviation) {
                        give(vm, upstream);
                        missing--;
                      }
                    }));
  }

  private void dealFree() {
    while (!free.isEmpty() && !dealt.isEmpty()) {
      VmId vm = mostLacking();
      give(vm, bestFree(vm));
    }
  }

  /** Moves slots from the VM with the largest surplus to the one that lacks most. */
  private void moveSurplus() {
    Set<VmId> exhausted = new HashSet<>();
    while (dealt.size() > exhausted.size()) {
      VmId lacking = mostLacking();
      VmId rich =
          dealt.keySet().stream()
              .filter(vm -> !exhausted.contains(vm))
              .max(Comparator.comparingDouble(this::deviation))
              .orElseThrow();
      double difference = deviation(rich) - deviation(lacking);
      boolean isWithoutSlots = dealt.get(lacking).isEmpty() && difference > 0 && held(rich) > 1;
      if (difference < MOVE_THRESHOLD && !isWithoutSlots) {
        return;
      }
      Optional<UpstreamId> movable = movable(rich, lacking);
      if (movable.isPresent()) {
        take(rich, movable.get());
        give(lacking, movable.get());
      } else {
        exhausted.add(rich);
      }
    }
  }

  private VmId mostLacking() {
    return dealt.keySet().stream().min(Comparator.comparingDouble(this::deviation)).orElseThrow();
  }

  /** Returns by how many slots a VM has more than it is to have. */
  private double deviation(VmId vm) {
    return held(vm) - targets.get(vm);
  }

  private int held(VmId vm) {
    return dealt.get(vm).values().stream().mapToInt(Integer::intValue).sum();
  }

  /** Returns the upstream with a free slot of which a VM has fewest, then with most free ones. */
  private UpstreamId bestFree(VmId vm) {
    Map<UpstreamId, Integer> held = dealt.get(vm);
    List<UpstreamId> best = new ArrayList<>();
    int fewest = Integer.MAX_VALUE;
    int most = 0;
    for (Map.Entry<UpstreamId, Integer> entry : free.entrySet()) {
      int own = held.getOrDefault(entry.getKey(), 0);
      int left = entry.getValue();
      if (own < fewest || (own == fewest && left > most)) {
        best.clear();
        fewest = own;
        most = left;
      }
      if (own == fewest && left == most) {
        best.add(entry.getKey());
      }
    }
    return best.get(Math.floorMod(vm.value().hashCode() + held.size() * 31, best.size()));
  }

  /** Returns the idle slot of a VM that another VM has fewest of. */
  private Optional<UpstreamId> movable(VmId from, VmId to) {
    Map<UpstreamId, Integer> used = inFlight.getOrDefault(from, Map.of());
    Map<UpstreamId, Integer> held = dealt.get(to);
    return dealt.get(from).entrySet().stream()
        .filter(entry -> entry.getValue() > used.getOrDefault(entry.getKey(), 0))
        .map(Map.Entry::getKey)
        .min(
            Comparator.<UpstreamId>comparingInt(id -> held.getOrDefault(id, 0))
                .thenComparing(UpstreamId::value));
  }

  private void give(VmId vm, UpstreamId upstream) {
    dealt.get(vm).merge(upstream, 1, Integer::sum);
    free.computeIfPresent(upstream, (id, count) -> count > 1 ? count - 1 : null);
  }

  private void take(VmId vm, UpstreamId upstream) {
    dealt.get(vm).computeIfPresent(upstream, (id, count) -> count > 1 ? count - 1 : null);
  }
}
