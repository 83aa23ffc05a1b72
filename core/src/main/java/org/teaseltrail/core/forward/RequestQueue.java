package org.teaseltrail.core.forward;

import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.Comparator;
import java.util.Deque;
import java.util.Iterator;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.TreeSet;
import java.util.function.Predicate;
import java.util.stream.Collectors;
import java.util.stream.Stream;
import org.teaseltrail.core.id.CustomerId;
import org.teaseltrail.core.id.ServiceId;
import org.teaseltrail.core.serving.QueueState;
import org.teaseltrail.core.serving.Urgency;

/**
 * The queue of requests that wait for a slot at a service's upstreams, ordered by {@link Urgency},
 * then by arrival.
 */
final class RequestQueue {

  private static final long NS_PER_MS = 1_000_000L;
  private static final long NS_PER_S = 1_000_000_000L;

  /** Window over which the dispatch rate is measured; longer than the first moment of a burst. */
  private static final long RATE_WINDOW_NS = 2 * NS_PER_S;

  private static final Comparator<ActiveRequest> ORDER =
      Comparator.comparing(ActiveRequest::urgency).thenComparingLong(ActiveRequest::number);

  private record Group(Urgency urgency, Optional<CustomerId> customer) {}

  private final ServiceId service;
  private final SlotUsageCounter places;
  private final TreeSet<ActiveRequest> waiting = new TreeSet<>(ORDER);
  private final Deque<Long> dispatchedNs = new ArrayDeque<>();

  /**
   * Creates an empty queue.
   *
   * @param service the service
   * @param places the slots that this VM's requests use
   */
  RequestQueue(ServiceId service, SlotUsageCounter places) {
    this.service = service;
    this.places = places;
  }

  void add(ActiveRequest request) {
    waiting.add(request);
  }

  void remove(ActiveRequest request) {
    waiting.remove(request);
  }

  boolean isEmpty() {
    return waiting.isEmpty();
  }

  int size() {
    return waiting.size();
  }

  /** Returns the queued requests, the most urgent first. */
  List<ActiveRequest> all() {
    return List.copyOf(waiting);
  }

  /** Returns the queued requests whose streams have begun. */
  List<ActiveRequest> begun() {
    return waiting.stream().filter(request -> request.origin().isPresent()).toList();
  }

  /** Returns the urgency of the first request, if any is queued. */
  Optional<Urgency> mostUrgent() {
    return waiting.isEmpty() ? Optional.empty() : Optional.of(waiting.first().urgency());
  }

  /**
   * Offers the queued requests to the dispatch function, the most urgent first, and removes those
   * that were dispatched.
   */
  void dispatchReady(Predicate<ActiveRequest> tryDispatch, long nowNs) {
    demoteLate(nowNs);
    Iterator<ActiveRequest> iterator = waiting.iterator();
    while (iterator.hasNext()) {
      ActiveRequest request = iterator.next();
      if (tryDispatch.test(request)) {
        iterator.remove();
        served(nowNs);
      }
    }
  }

  /**
   * Dispatches and removes the first request that the dispatch function accepts: one of the given
   * urgency and customer, or else one of that urgency, or else any.
   *
   * @return whether a request was dispatched
   */
  boolean dispatchOne(
      Urgency grantedFor,
      Optional<CustomerId> customer,
      Predicate<ActiveRequest> tryDispatch,
      long nowNs) {
    demoteLate(nowNs);
    List<ActiveRequest> matching =
        waiting.stream().filter(request -> request.urgency().equals(grantedFor)).toList();
    Stream<ActiveRequest> ofCustomer =
        customer.isEmpty()
            ? Stream.empty()
            : matching.stream().filter(request -> request.customer().equals(customer));
    Optional<ActiveRequest> served =
        Stream.of(ofCustomer, matching.stream(), waiting.stream())
            .flatMap(requests -> requests)
            .filter(tryDispatch)
            .findFirst();
    served.ifPresent(waiting::remove);
    served.ifPresent(request -> served(nowNs));
    return served.isPresent();
  }

  /**
   * Returns the wait times by urgency, the most urgent first, and by customer where slots are
   * shared between customers.
   */
  List<QueueState.WaitTimes> waitTimes(long nowNs) {
    boolean byCustomer = places.isByCustomer(service);
    Map<Group, List<Long>> waitsMs = new LinkedHashMap<>();
    for (ActiveRequest request : waiting) {
      Optional<CustomerId> customer = byCustomer ? request.customer() : Optional.empty();
      long waitedMs = (nowNs - request.arrivedNs()) / NS_PER_MS;
      waitsMs
          .computeIfAbsent(new Group(request.urgency(), customer), key -> new ArrayList<>())
          .add(waitedMs);
    }
    return waitsMs.entrySet().stream()
        .map(
            entry ->
                new QueueState.WaitTimes(
                    entry.getKey().urgency(), entry.getKey().customer(), entry.getValue()))
        .toList();
  }

  /** Counts a dispatched request. */
  void served(long nowNs) {
    dispatchedNs.addLast(nowNs);
    dropExpired(nowNs);
  }

  /** Returns the number of requests dispatched per second. */
  double dispatchesPerSecond(long nowNs) {
    dropExpired(nowNs);
    return dispatchedNs.size() * (double) NS_PER_S / RATE_WINDOW_NS;
  }

  /**
   * Returns the request to be shed first: the least urgent one, the newest among its equals. Where
   * slots are shared between customers, it is one of the customer that has most requests here, at
   * upstreams or queued, among those with requests of the lowest customer rank and lateness.
   */
  Optional<ActiveRequest> leastUrgent() {
    if (waiting.isEmpty()) {
      return Optional.empty();
    }
    return places.isByCustomer(service)
        ? leastUrgentOfLargestCustomer()
        : Optional.of(waiting.last());
  }

  private Optional<ActiveRequest> leastUrgentOfLargestCustomer() {
    Urgency last = waiting.last().urgency();
    Map<Optional<CustomerId>, ActiveRequest> lastByCustomer = new LinkedHashMap<>();
    for (ActiveRequest request : waiting.descendingSet()) {
      if (request.urgency().customerRank() == last.customerRank()
          && request.urgency().late() == last.late()) {
        lastByCustomer.putIfAbsent(request.customer(), request);
      }
    }
    Map<Optional<CustomerId>, Long> queued =
        waiting.stream()
            .collect(Collectors.groupingBy(ActiveRequest::customer, Collectors.counting()));
    Comparator<ActiveRequest> byCustomerSize =
        Comparator.comparingLong(
            request -> queued.get(request.customer()) + places.inUse(service, request.customer()));
    return lastByCustomer.values().stream().max(byCustomerSize.thenComparing(ORDER));
  }

  /** Moves requests that can no longer be answered on time behind the others. */
  void demoteLate(long nowNs) {
    List<ActiveRequest> newlyLate = new ArrayList<>();
    waiting.stream().filter(request -> request.isBecomingLate(nowNs)).forEach(newlyLate::add);
    waiting.removeAll(newlyLate);
    newlyLate.forEach(ActiveRequest::markLate);
    waiting.addAll(newlyLate);
  }

  private void dropExpired(long nowNs) {
    while (!dispatchedNs.isEmpty() && nowNs - dispatchedNs.peekFirst() > RATE_WINDOW_NS) {
      dispatchedNs.removeFirst();
    }
  }
}
