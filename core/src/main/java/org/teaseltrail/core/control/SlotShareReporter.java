package org.teaseltrail.core.control;

import java.util.ArrayList;
import java.util.Comparator;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import org.teaseltrail.core.id.CustomerId;
import org.teaseltrail.core.id.ServiceId;
import org.teaseltrail.core.id.VmId;
import org.teaseltrail.core.serving.QueueState;
import org.teaseltrail.core.serving.ServingMessage;
import org.teaseltrail.core.serving.SlotUsage;
import org.teaseltrail.core.serving.Urgency;

/**
 * Sums up, for the log, what customers and kinds of requests have of a service's slots while these
 * are shared: once a second for each service, and only when a VM reports its queues.
 */
final class SlotShareReporter {

  private static final long REPORT_INTERVAL_NS = 1_000_000_000L;

  /** Number of customers and kinds in one report; those with the most slots and requests. */
  private static final int MAX_SHARES = 16;

  private record Key(Optional<CustomerId> customer, int routeRank) {}

  private record TimedReport(ServingMessage.Lines report, long atNs) {}

  private static final class Counts {
    private int inUse;
    private int granted;
    private int waiting;
  }

  private final Map<VmId, TimedReport> reports = new HashMap<>();
  private final Map<ServiceId, Map<Key, Integer>> granted = new HashMap<>();
  private final Map<ServiceId, Long> nextReportNs = new HashMap<>();

  /** Records a VM's queues and slots in use. */
  void heard(ServingMessage.Lines report, long nowNs) {
    reports.put(report.vm(), new TimedReport(report, nowNs));
  }

  /** Removes a VM whose syncs have timed out. */
  void removeVm(VmId vm) {
    reports.remove(vm);
  }

  /** Counts a granted slot. */
  void granted(SlotAllocator.Grant grant) {
    granted
        .computeIfAbsent(grant.service(), service -> new HashMap<>())
        .merge(new Key(grant.customer(), grant.urgency().routeRank()), 1, Integer::sum);
  }

  /**
   * Returns the shares of a service's slots if a report is due.
   *
   * @return the largest shares first, empty if no report is due
   */
  List<SlotShare> takeReport(ServiceId service, long nowNs) {
    if (nowNs < nextReportNs.getOrDefault(service, Long.MIN_VALUE)) {
      return List.of();
    }
    nextReportNs.put(service, nowNs + REPORT_INTERVAL_NS);
    reports.values().removeIf(each -> nowNs - each.atNs() > REPORT_INTERVAL_NS);
    Map<Key, Counts> counts = new HashMap<>();
    reports.values().forEach(each -> add(each.report(), service, counts));
    Optional.ofNullable(granted.remove(service))
        .ifPresent(by -> by.forEach((key, count) -> of(counts, key).granted = count));
    return largest(counts);
  }

  private static void add(ServingMessage.Lines report, ServiceId service, Map<Key, Counts> counts) {
    for (SlotUsage usage : report.held()) {
      if (usage.service().equals(service)) {
        of(counts, new Key(usage.customer(), usage.routeRank())).inUse += usage.places();
      }
    }
    for (QueueState queue : report.lines()) {
      if (queue.service().equals(service)) {
        queue.waiting().forEach(each -> of(counts, key(each)).waiting += each.waitedMs().size());
      }
    }
  }

  private static Key key(QueueState.WaitTimes waits) {
    Urgency urgency = waits.urgency();
    return new Key(waits.customer(), urgency.routeRank());
  }

  private static Counts of(Map<Key, Counts> counts, Key key) {
    return counts.computeIfAbsent(key, each -> new Counts());
  }

  private static List<SlotShare> largest(Map<Key, Counts> counts) {
    List<SlotShare> shares = new ArrayList<>();
    counts.forEach(
        (key, count) ->
            shares.add(
                new SlotShare(
                    key.customer(), key.routeRank(), count.inUse, count.granted, count.waiting)));
    shares.sort(
        Comparator.comparingInt((SlotShare share) -> share.inUse() + share.waiting())
            .reversed()
            .thenComparing(share -> share.customer().map(CustomerId::value).orElse(""))
            .thenComparingInt(SlotShare::routeRank));
    return shares.stream().limit(MAX_SHARES).toList();
  }
}
