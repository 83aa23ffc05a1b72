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
import java.util.TreeMap;
import org.teaseltrail.core.id.ServiceId;
import org.teaseltrail.core.id.UpstreamId;
import org.teaseltrail.core.id.VmId;
import org.teaseltrail.core.registry.Registration;
import org.teaseltrail.core.registry.RegistrationPhase;
import org.teaseltrail.core.serving.LineState;
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
final class SlotDesk {

  /**
   * Time without a waiting request after which VMs place by themselves again; two of a VM's usual
   * syncs.
   */
  private static final long CONTENDED_NS = 500_000_000L;

  /** Time after which a grant that nothing is heard of counts as lost: many round trips. */
  private static final long GRANT_LOST_NS = 300_000_000L;

  /**
   * Is a place handed out to a VM.
   *
   * @param vm who may use it
   * @param sequence grows with each grant to that VM
   * @param service whose requests may use it
   * @param upstream where it is
   */
  record Grant(VmId vm, long sequence, ServiceId service, UpstreamId upstream) {}

  private record Open(Grant grant, long atNs) {}

  private static final class Vm {
    private Map<UpstreamId, Integer> inFlight = Map.of();
    private Map<ServiceId, LineState> lines = Map.of();
    private final Deque<Open> open = new ArrayDeque<>();
    private long lastSequence;

    private long openAt(UpstreamId upstream) {
      return open.stream().filter(each -> each.grant().upstream().equals(upstream)).count();
    }

    /** Returns the most urgent that waits, beyond what the open grants serve. */
    private Optional<Urgency> mostUrgent(ServiceId service) {
      LineState line = lines.get(service);
      if (line == null) {
        return Optional.empty();
      }
      long served = open.stream().filter(each -> each.grant().service().equals(service)).count();
      for (LineState.Count count : line.waiting()) {
        if (served < count.requests()) {
          return Optional.of(count.urgency());
        }
        served -= count.requests();
      }
      return Optional.empty();
    }

    private boolean wants(ServiceId service, UpstreamId upstream) {
      return !lines.get(service).unwanted().contains(upstream);
    }
  }

  private record Candidate(VmId id, Vm vm, Urgency urgency) {}

  private final Map<VmId, Vm> vms = new TreeMap<>(Comparator.comparing(VmId::value));
  private final Map<ServiceId, Long> contendedUntilNs = new HashMap<>();

  /** Takes what a VM has at each upstream. */
  void heard(VmId id, Map<UpstreamId, Integer> inFlight) {
    vms.computeIfAbsent(id, key -> new Vm()).inFlight = inFlight;
  }

  /** Takes what waits at a VM. */
  void lines(ServingMessage.Lines message, long nowNs) {
    heard(message.vm(), message.inFlight());
    Vm vm = vms.get(message.vm());
    vm.open.removeIf(each -> each.grant().sequence() <= message.grantsSeen());
    Map<ServiceId, LineState> lines = new HashMap<>();
    for (LineState line : message.lines()) {
      lines.put(line.service(), line);
      contendedUntilNs.put(line.service(), nowNs + CONTENDED_NS);
    }
    vm.lines = lines;
  }

  /** Takes a VM out that has fallen silent. */
  void forget(VmId id) {
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
  List<Grant> distribute(ServiceId service, Collection<Registration> upstreams, long nowNs) {
    vms.values().forEach(vm -> vm.open.removeIf(each -> nowNs - each.atNs() > GRANT_LOST_NS));
    Map<UpstreamId, Integer> free = free(upstreams);
    List<Grant> grants = new ArrayList<>();
    Set<VmId> passedOver = new HashSet<>();
    Optional<Candidate> next = next(service, passedOver);
    while (next.isPresent() && !free.isEmpty()) {
      Candidate candidate = next.get();
      Optional<UpstreamId> place = emptiest(service, candidate.vm(), free);
      if (place.isPresent()) {
        grants.add(grant(candidate, service, place.get(), nowNs));
        free.computeIfPresent(place.get(), (id, places) -> places > 1 ? places - 1 : null);
      } else {
        passedOver.add(candidate.id());
      }
      next = next(service, passedOver);
    }
    return grants;
  }

  private Map<UpstreamId, Integer> free(Collection<Registration> upstreams) {
    Map<UpstreamId, Integer> free = new HashMap<>();
    for (Registration upstream : upstreams) {
      int places = upstream.slots() - taken(upstream.id());
      if (upstream.phase() == RegistrationPhase.READY && places > 0) {
        free.put(upstream.id(), places);
      }
    }
    return free;
  }

  private int taken(UpstreamId upstream) {
    int taken = 0;
    for (Vm vm : vms.values()) {
      taken += vm.inFlight.getOrDefault(upstream, 0);
      taken += (int) vm.openAt(upstream);
    }
    return taken;
  }

  private Optional<Candidate> next(ServiceId service, Set<VmId> passedOver) {
    Candidate first = null;
    for (Map.Entry<VmId, Vm> entry : vms.entrySet()) {
      Optional<Urgency> urgency = entry.getValue().mostUrgent(service);
      if (urgency.isEmpty() || passedOver.contains(entry.getKey())) {
        continue;
      }
      if (first == null || urgency.get().compareTo(first.urgency()) < 0) {
        first = new Candidate(entry.getKey(), entry.getValue(), urgency.get());
      }
    }
    return Optional.ofNullable(first);
  }

  private static Optional<UpstreamId> emptiest(
      ServiceId service, Vm vm, Map<UpstreamId, Integer> free) {
    return free.entrySet().stream()
        .filter(entry -> vm.wants(service, entry.getKey()))
        .max(Map.Entry.comparingByValue())
        .map(Map.Entry::getKey);
  }

  private static Grant grant(
      Candidate candidate, ServiceId service, UpstreamId upstream, long nowNs) {
    Vm vm = candidate.vm();
    vm.lastSequence++;
    Grant grant = new Grant(candidate.id(), vm.lastSequence, service, upstream);
    vm.open.addLast(new Open(grant, nowNs));
    return grant;
  }
}
