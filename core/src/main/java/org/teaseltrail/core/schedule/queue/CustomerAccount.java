package org.teaseltrail.core.schedule.queue;

import java.util.HashMap;
import java.util.Map;
import org.teaseltrail.core.id.CustomerId;
import org.teaseltrail.core.id.RouteId;

/**
 * Keeps a customer's waiting tickets of one tier and the engine time it has been served there,
 * divided by its weight (its virtual time).
 */
final class CustomerAccount {

  private final CustomerId customer;
  private final Map<RouteId, CustomerQueue> queues = new HashMap<>();
  private int weight = 1;
  private double virtualUs;
  private double waitingUs;
  private int waitingCount;

  CustomerAccount(CustomerId customer) {
    this.customer = customer;
  }

  CustomerId customer() {
    return customer;
  }

  double virtualUs() {
    return virtualUs;
  }

  double waitingUs() {
    return waitingUs;
  }

  int waitingCount() {
    return waitingCount;
  }

  int weight() {
    return weight;
  }

  void setWeight(int weight) {
    this.weight = weight;
  }

  CustomerQueue queue(RouteId route) {
    return queues.computeIfAbsent(route, r -> new CustomerQueue(this));
  }

  Map<RouteId, CustomerQueue> queues() {
    return queues;
  }

  /** Brings an idle customer to the present, so that it cannot save up time it did not use. */
  void catchUp(double systemVirtualUs) {
    virtualUs = Math.max(virtualUs, systemVirtualUs);
  }

  /** Adds served engine time; negative to give back what was not used. */
  void addServed(double engineUs) {
    virtualUs += engineUs / weight;
  }

  void addWaiting(double engineUs) {
    waitingUs += engineUs;
    waitingCount++;
  }

  void removeWaiting(double engineUs) {
    waitingCount--;
    waitingUs = waitingCount == 0 ? 0 : waitingUs - engineUs;
  }
}
