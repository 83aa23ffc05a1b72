package org.teaseltrail.core.control;

import java.util.ArrayDeque;
import java.util.Comparator;
import java.util.Deque;
import java.util.HashMap;
import java.util.Map;
import java.util.TreeMap;
import org.teaseltrail.core.id.CustomerId;
import org.teaseltrail.core.id.Incarnation;
import org.teaseltrail.core.id.VmId;

/**
 * Adds up, on the leader, what customers have used of their quotas at all entry VMs, and what part
 * of the rest each VM may use until the next sync.
 *
 * <p>Guards against a VM that is started anew: its own account begins at nothing, and several
 * restarts in a row would let a customer use its quota over and over. What a life of a VM had used
 * counts on for the quota's window.
 */
final class QuotaLedger {

  /** Part of the rest that is divided evenly, since callers may move to any VM at once. */
  private static final double EVEN_PART = 0.3;

  private record Account(
      Incarnation incarnation, Map<CustomerId, Double> used, Map<CustomerId, Double> demand) {}

  private record Former(long untilNs, Map<CustomerId, Double> used) {}

  private final long windowNs;
  private final Map<VmId, Account> accounts = new TreeMap<>(Comparator.comparing(VmId::value));
  private final Deque<Former> formers = new ArrayDeque<>();

  QuotaLedger(long windowMs) {
    windowNs = windowMs * 1_000_000L;
  }

  /** Takes what a VM tells: what was used there within the window, and what is asked for. */
  void told(
      VmId vm,
      Incarnation incarnation,
      Map<CustomerId, Double> used,
      Map<CustomerId, Double> demandPerSecond,
      long nowNs) {
    Account before = accounts.put(vm, new Account(incarnation, used, demandPerSecond));
    if (before != null && !before.incarnation().equals(incarnation)) {
      formers.addLast(new Former(nowNs + windowNs, before.used()));
    }
  }

  /** Takes a VM out that has fallen silent. */
  void forget(VmId vm, long nowNs) {
    Account before = accounts.remove(vm);
    if (before != null) {
      formers.addLast(new Former(nowNs + windowNs, before.used()));
    }
  }

  /** Returns what was used within the window at all VMs but one. */
  Map<CustomerId, Double> usedElsewhere(VmId vm, long nowNs) {
    while (!formers.isEmpty() && formers.peekFirst().untilNs() <= nowNs) {
      formers.removeFirst();
    }
    Map<CustomerId, Double> sums = new HashMap<>();
    accounts.forEach(
        (id, account) -> {
          if (!id.equals(vm)) {
            add(sums, account.used());
          }
        });
    formers.forEach(former -> add(sums, former.used()));
    return sums;
  }

  /** Returns a VM's part of what is left of each customer's quota. */
  Map<CustomerId, Double> sharesOf(VmId vm) {
    Map<CustomerId, Double> totals = new HashMap<>();
    accounts.values().forEach(account -> add(totals, account.demand()));
    double even = 1.0 / Math.max(1, accounts.size());
    Account account = accounts.get(vm);
    Map<CustomerId, Double> shares = new HashMap<>();
    totals.forEach(
        (id, total) -> {
          double own = account == null ? 0 : account.demand().getOrDefault(id, 0.0);
          double byDemand = total > 0 ? own / total : even;
          shares.put(id, EVEN_PART * even + (1 - EVEN_PART) * byDemand);
        });
    return shares;
  }

  private static void add(Map<CustomerId, Double> sums, Map<CustomerId, Double> amounts) {
    amounts.forEach((id, amount) -> sums.merge(id, amount, Double::sum));
  }
}
