package org.teaseltrail.core.control;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.TreeMap;
import org.teaseltrail.core.id.CustomerId;
import org.teaseltrail.core.serving.ExpectedWait;
import org.teaseltrail.core.serving.Urgency;

/**
 * Forecasts how long a request that begins to wait now waits for a slot, by its urgency and
 * customer.
 *
 * <p>A class of requests waits for all that is ahead of it in strict order of urgency, served at
 * the capacity that more urgent classes leave; or, where the order of grants serves it at turns,
 * for its own line only, at the rate of its own recent grants. The shorter of the two holds. A
 * customer gets at least an even part of its urgency's rate.
 */
final class WaitForecaster {

  /** Longest forecast: demand and capacity can't be foreseen for longer. */
  private static final long MAX_WAIT_MS = 5_000;

  /** Shorter waits are not listed; a grant takes about as long without any line. */
  private static final long MIN_WAIT_MS = 10;

  private static final double MS_PER_S = 1e3;

  /**
   * The load of a service.
   *
   * @param waiting requests that wait at all VMs, by class
   * @param grantsPerSecond recent grants, by class
   * @param capacityPerSecond requests per second that its slots serve while all are in use
   * @param freeSlots slots that are free; if there are none, the negative number of requests that
   *     wait at upstreams for a slot
   * @param slotCount number of slots
   * @param usedByCustomer slots in use, by customer
   * @param vmCount number of entry VMs
   */
  record Load(
      Map<WaitingClass, Integer> waiting,
      Map<WaitingClass, Double> grantsPerSecond,
      double capacityPerSecond,
      int freeSlots,
      int slotCount,
      Map<Optional<CustomerId>, Long> usedByCustomer,
      int vmCount) {}

  /** Line of one urgency: its requests by customer, and its recent grants. */
  private static final class Line {
    private final Map<Optional<CustomerId>, Integer> waiting = new HashMap<>();
    private int count;
    private double grantsPerSecond;
  }

  private final Load load;
  private final TreeMap<Urgency, Line> lines = new TreeMap<>();
  private final List<ExpectedWait> waits = new ArrayList<>();
  private final SharedSlotClaims claims;

  private WaitForecaster(Load load) {
    this.load = load;
    claims = new SharedSlotClaims(load);
  }

  /** Returns the expected waits; classes that aren't listed wait for no notable time. */
  static List<ExpectedWait> forecast(Load load) {
    WaitForecaster forecaster = new WaitForecaster(load);
    forecaster.collectLines();
    forecaster.forecastLines();
    return forecaster.waits;
  }

  private void collectLines() {
    load.waiting()
        .forEach(
            (requests, count) -> {
              Line line = line(requests.urgency());
              line.count += count;
              line.waiting.merge(requests.customer(), count, Integer::sum);
            });
    load.grantsPerSecond()
        .forEach((requests, rate) -> line(requests.urgency()).grantsPerSecond += rate);
  }

  /** Returns the line of an urgency; a request may become late, so that both lines exist. */
  private Line line(Urgency urgency) {
    for (boolean late : new boolean[] {false, true}) {
      lines.computeIfAbsent(
          new Urgency(urgency.customerRank(), late, urgency.routeRank()), key -> new Line());
    }
    return lines.get(urgency);
  }

  private void forecastLines() {
    int ahead = 0;
    double takenPerSecond = 0;
    for (Map.Entry<Urgency, Line> entry : lines.entrySet()) {
      Line line = entry.getValue();
      ahead += line.count;
      if (ahead >= load.freeSlots()) {
        int place = ahead - load.freeSlots() + 1;
        double leftPerSecond = Math.max(0, load.capacityPerSecond() - takenPerSecond);
        forecastLine(entry.getKey(), line, place, leftPerSecond);
      }
      takenPerSecond += line.grantsPerSecond;
    }
  }

  private void forecastLine(Urgency urgency, Line line, int place, double leftPerSecond) {
    double strictMs = waitMs(place, leftPerSecond);
    double byTurnsMs = waitMs(line.count + 1, line.grantsPerSecond);
    double lineMs = Math.min(strictMs, byTurnsMs);
    double perSecond = strictMs <= byTurnsMs ? leftPerSecond : line.grantsPerSecond;
    line.waiting.keySet().stream()
        .flatMap(Optional::stream)
        .forEach(
            customer -> {
              Optional<CustomerId> key = Optional.of(customer);
              WaitingClass requests = new WaitingClass(urgency, key);
              double ownPerSecond =
                  Math.max(
                      load.grantsPerSecond().getOrDefault(requests, 0.0),
                      perSecond / line.waiting.size());
              double ownMs = waitMs(line.waiting.get(key) + 1, ownPerSecond);
              double claimMs = claimMs(urgency, key);
              add(requests, Math.min(claimMs, Math.min(lineMs, ownMs)), ownPerSecond);
            });
    boolean isShared = line.waiting.keySet().stream().anyMatch(Optional::isPresent);
    double evenPerSecond = perSecond / (line.waiting.size() + 1);
    double othersMs =
        isShared
            ? Math.min(
                claimMs(urgency, Optional.empty()), Math.min(lineMs, waitMs(1, evenPerSecond)))
            : lineMs;
    add(new WaitingClass(urgency, Optional.empty()), othersMs, perSecond);
  }

  /**
   * Returns the wait of a customer's next request by its claim to an equal part of the slots; the
   * longest wait if it has no such claim.
   */
  private double claimMs(Urgency urgency, Optional<CustomerId> customer) {
    return claims.hasClaim(urgency, customer)
        ? waitMs(claims.waitingWithClaim() + 1, load.capacityPerSecond())
        : MAX_WAIT_MS;
  }

  private void add(WaitingClass requests, double waitMs, double perSecond) {
    if (waitMs >= MIN_WAIT_MS) {
      long growthMs = (long) waitMs(load.vmCount(), perSecond);
      waits.add(new ExpectedWait(requests.urgency(), requests.customer(), (long) waitMs, growthMs));
    }
  }

  private static double waitMs(int requests, double perSecond) {
    return perSecond <= 0 ? MAX_WAIT_MS : Math.min(MAX_WAIT_MS, requests / perSecond * MS_PER_S);
  }
}
