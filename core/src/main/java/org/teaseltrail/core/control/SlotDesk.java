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
import org.teaseltrail.core.serving.HeldPlaces;
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
   * Silence after which a VM gets no places: ten syncs of a VM where requests wait. Guards against
   * a VM that is cut off and keeps its line here: each place granted to it counts as taken for as
   * long as a grant may be on its way, and requests of others wait beside it.
   */
  private static final long VM_HEARD_NS = 500_000_000L;

  private static final long NS_PER_MS = 1_000_000L;

  /**
   * Of so many places, one goes to a less urgent kind of request that waits. Guards against a kind
   * of request that is never served while there is more load than fits: the users want each kind to
   * get at least two fifths of what it is owed.
   */
  private static final long OTHERS_TURN = 4;

  /**
   * Part of a service's places that one kind of request may hold before it gets no such turn.
   * Guards against a kind that is the least urgent and holds its places the longest: by turns alone
   * it comes to hold most of them. With places held four times as long, a quarter of the grants is
   * more than half of the places.
   */
  private static final double OTHERS_PART = 0.25;

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

  private record Open(Grant grant, long atNs) {}

  private static final class Vm {
    private Map<UpstreamId, Integer> inFlight = Map.of();
    private Map<UpstreamId, Integer> unread = Map.of();
    private List<HeldPlaces> held = List.of();
    private Map<ServiceId, LineState> lines = Map.of();
    private long toldNs;
    private long heardNs;
    private final Deque<Open> open = new ArrayDeque<>();
    private long lastSequence;

    private long openAt(UpstreamId upstream) {
      return open.stream().filter(each -> each.grant().upstream().equals(upstream)).count();
    }

    /** Returns, for each urgency, the first of what waits beyond what open grants are meant for. */
    private List<Candidate> candidates(VmId id, ServiceId service) {
      LineState line = lines.get(service);
      if (line == null) {
        return List.of();
      }
      List<Candidate> candidates = new ArrayList<>();
      for (LineState.Waiting waiting : line.waiting()) {
        int served = (int) openFor(service, waiting.urgency());
        if (served < waiting.waitedMs().size()) {
          long sinceNs = toldNs - waiting.waitedMs().get(served) * NS_PER_MS;
          candidates.add(new Candidate(id, this, waiting.urgency(), sinceNs));
        }
      }
      return candidates;
    }

    private long openFor(ServiceId service, Urgency urgency) {
      return open.stream()
          .map(Open::grant)
          .filter(grant -> grant.service().equals(service) && grant.urgency().equals(urgency))
          .count();
    }

    /** Returns the places that a kind of request holds or is granted. */
    private long heldBy(ServiceId service, int routeRank) {
      long granted =
          open.stream()
              .map(Open::grant)
              .filter(grant -> grant.service().equals(service))
              .filter(grant -> grant.urgency().routeRank() == routeRank)
              .count();
      long inUse =
          held.stream()
              .filter(each -> each.service().equals(service) && each.routeRank() == routeRank)
              .mapToInt(HeldPlaces::places)
              .sum();
      return granted + inUse;
    }

    private boolean wants(ServiceId service, UpstreamId upstream) {
      return !lines.get(service).unwanted().contains(upstream);
    }

    private boolean findsSlow(ServiceId service, UpstreamId upstream) {
      return lines.get(service).slow().contains(upstream);
    }
  }

  private record Candidate(VmId id, Vm vm, Urgency urgency, long waitsSinceNs) {}

  private static final Comparator<Candidate> MOST_URGENT_FIRST =
      Comparator.comparing(Candidate::urgency).thenComparingLong(Candidate::waitsSinceNs);

  private static final Comparator<Candidate> LEAST_URGENT_FIRST =
      Comparator.comparing(Candidate::urgency)
          .reversed()
          .thenComparingLong(Candidate::waitsSinceNs);

  private final Map<VmId, Vm> vms = new TreeMap<>(Comparator.comparing(VmId::value));
  private final Map<ServiceId, Long> granted = new HashMap<>();
  private final Map<ServiceId, Long> contendedUntilNs = new HashMap<>();

  /** Takes what a VM has at each upstream. */
  void heard(VmId id, Map<UpstreamId, Integer> inFlight, long nowNs) {
    Vm vm = vms.computeIfAbsent(id, key -> new Vm());
    vm.inFlight = inFlight;
    vm.heardNs = nowNs;
  }

  /** Takes what waits at a VM. */
  void lines(ServingMessage.Lines message, long nowNs) {
    heard(message.vm(), message.inFlight(), nowNs);
    Vm vm = vms.get(message.vm());
    vm.open.removeIf(each -> each.grant().sequence() <= message.grantsSeen());
    Map<ServiceId, LineState> lines = new HashMap<>();
    for (LineState line : message.lines()) {
      lines.put(line.service(), line);
      contendedUntilNs.put(line.service(), nowNs + CONTENDED_NS);
    }
    vm.unread = message.unread();
    vm.held = message.held();
    vm.lines = lines;
    vm.toldNs = nowNs;
  }

  /** Returns how many requests wait at a VM for each service. */
  Map<ServiceId, Integer> waiting(VmId id) {
    Map<ServiceId, Integer> waiting = new HashMap<>();
    Vm vm = vms.get(id);
    if (vm != null) {
      vm.lines.forEach((service, line) -> waiting.put(service, line.size()));
    }
    return waiting;
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
    Set<VmId> passedOver = silent(nowNs);
    double othersMost = OTHERS_PART * places(upstreams);
    Optional<Candidate> next = next(service, othersMost, passedOver);
    while (next.isPresent() && !free.isEmpty()) {
      Candidate candidate = next.get();
      Optional<UpstreamId> place = emptiest(service, candidate.vm(), free);
      if (place.isPresent()) {
        grants.add(grant(candidate, service, place.get(), nowNs));
        free.computeIfPresent(place.get(), (id, places) -> places > 1 ? places - 1 : null);
      } else {
        passedOver.add(candidate.id());
      }
      next = next(service, othersMost, passedOver);
    }
    return grants;
  }

  private Set<VmId> silent(long nowNs) {
    Set<VmId> silent = new HashSet<>();
    vms.forEach(
        (id, vm) -> {
          if (nowNs - vm.heardNs > VM_HEARD_NS) {
            silent.add(id);
          }
        });
    return silent;
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

  private static int places(Collection<Registration> upstreams) {
    return upstreams.stream()
        .filter(upstream -> upstream.phase() == RegistrationPhase.READY)
        .mapToInt(Registration::slots)
        .sum();
  }

  private int taken(UpstreamId upstream) {
    int taken = 0;
    for (Vm vm : vms.values()) {
      taken += vm.inFlight.getOrDefault(upstream, 0);
      taken += (int) vm.openAt(upstream);
    }
    return taken;
  }

  private Optional<Candidate> next(ServiceId service, double othersMost, Set<VmId> passedOver) {
    List<Candidate> candidates = new ArrayList<>();
    vms.forEach(
        (id, vm) -> {
          if (!passedOver.contains(id)) {
            candidates.addAll(vm.candidates(id, service));
          }
        });
    Optional<Candidate> first = candidates.stream().min(MOST_URGENT_FIRST);
    boolean othersTurn = granted.getOrDefault(service, 0L) % OTHERS_TURN == OTHERS_TURN - 1;
    if (!othersTurn || first.isEmpty()) {
      return first;
    }
    return lessUrgentKind(service, othersMost, candidates, first.get().urgency()).or(() -> first);
  }

  /**
   * Returns a candidate of the least urgent route among those that are like the first otherwise and
   * whose kind holds few places.
   */
  private Optional<Candidate> lessUrgentKind(
      ServiceId service, double othersMost, List<Candidate> candidates, Urgency first) {
    return candidates.stream()
        .filter(each -> each.urgency().customerRank() == first.customerRank())
        .filter(each -> each.urgency().late() == first.late())
        .filter(each -> heldBy(service, each.urgency().routeRank()) < othersMost)
        .min(LEAST_URGENT_FIRST);
  }

  private long heldBy(ServiceId service, int routeRank) {
    return vms.values().stream().mapToLong(vm -> vm.heldBy(service, routeRank)).sum();
  }

  private Optional<UpstreamId> emptiest(ServiceId service, Vm vm, Map<UpstreamId, Integer> free) {
    return free.entrySet().stream()
        .filter(entry -> vm.wants(service, entry.getKey()))
        .filter(entry -> !vm.findsSlow(service, entry.getKey()) || !isReading(entry.getKey()))
        .max(Map.Entry.comparingByValue())
        .map(Map.Entry::getKey);
  }

  /** Tells whether an upstream may have a prompt before it that it has not read. */
  private boolean isReading(UpstreamId upstream) {
    return vms.values().stream()
        .anyMatch(vm -> vm.unread.getOrDefault(upstream, 0) > 0 || vm.openAt(upstream) > 0);
  }

  private Grant grant(Candidate candidate, ServiceId service, UpstreamId upstream, long nowNs) {
    granted.merge(service, 1L, Long::sum);
    Vm vm = candidate.vm();
    vm.lastSequence++;
    Grant grant =
        new Grant(candidate.id(), vm.lastSequence, service, upstream, candidate.urgency());
    vm.open.addLast(new Open(grant, nowNs));
    return grant;
  }
}
