package org.teaseltrail.core.control;

import java.util.ArrayDeque;
import java.util.Comparator;
import java.util.Deque;
import java.util.HashMap;
import java.util.HashSet;
import java.util.Map;
import java.util.Set;
import java.util.TreeMap;
import org.teaseltrail.core.id.CustomerId;
import org.teaseltrail.core.id.Incarnation;
import org.teaseltrail.core.id.VmId;
import org.teaseltrail.core.serving.QuotaGrant;
import org.teaseltrail.core.serving.QuotaReport;

/**
 * Adds up, on the leader, what customers have used of their quotas at all entry VMs, and allows
 * each VM a part of the rest until it tells again.
 *
 * <p>What all VMs hold, used or allowed, never adds up to more than the quota. That holds in these
 * cases:
 *
 * <ul>
 *   <li>A VM falls silent: what it holds stays set aside, since it may use it until its session
 *       ends, and for the quota's window after that.
 *   <li>A VM is started anew: its account begins at nothing, and several restarts in a row would
 *       let a customer use its quota over and over. What the former life held counts on for the
 *       window.
 *   <li>An answer is lost: the VM goes on with its older allowance. It counts with the greater of
 *       both until it tells again.
 *   <li>Another member leads: it knows no VM. Those that survive tell what they hold, and what the
 *       leader before counted for all others; what is held by VMs that don't come forward stays set
 *       aside for as long as they could use it.
 * </ul>
 */
final class QuotaLedger {

  /** Part of the rest that is divided evenly, since callers may move to any VM at once. */
  private static final double EVEN_PART = 0.3;

  /**
   * Time of its customers' usual demand that a VM is allowed at most beyond the even part. Guards
   * against a killed VM that takes most of a quota with it for a window: what it held can't be used
   * elsewhere until then. Eight syncs, so that a few lost ones don't leave a VM without.
   */
  private static final double COVERED_S = 2;

  private static final class Account {
    private final Incarnation incarnation;
    private QuotaReport report;
    private Map<CustomerId, Double> held = Map.of();

    private Account(Incarnation incarnation) {
      this.incarnation = incarnation;
    }
  }

  private record Life(VmId vm, Incarnation incarnation) {}

  private record Former(
      long untilNs, Life life, Map<CustomerId, Double> used, Map<CustomerId, Double> held) {}

  private final long windowNs;
  private final long unknownUntilNs;
  private final Map<VmId, Account> accounts = new TreeMap<>(Comparator.comparing(VmId::value));
  private final Deque<Former> formers = new ArrayDeque<>();
  private final Set<Life> cameForward = new HashSet<>();
  private final Map<CustomerId, Double> heldBefore = new HashMap<>();
  private final Map<CustomerId, Double> heldByKnown = new HashMap<>();

  /**
   * Creates a ledger that knows no VM.
   *
   * @param windowMs time over which quotas are counted, in milliseconds
   * @param silentNs time after which a silent VM no longer uses what it was allowed
   * @param nowNs when this member began to lead
   */
  QuotaLedger(long windowMs, long silentNs, long nowNs) {
    windowNs = windowMs * 1_000_000L;
    unknownUntilNs = nowNs + silentNs + windowNs;
  }

  /** Takes what a VM tells. */
  void told(VmId vm, Incarnation incarnation, QuotaReport report, long nowNs) {
    Life life = new Life(vm, incarnation);
    Account account = accounts.get(vm);
    if (account != null && !account.incarnation.equals(incarnation)) {
      forget(vm, nowNs);
      account = null;
    }
    if (account == null) {
      formers.removeIf(former -> former.life().equals(life));
      account = new Account(incarnation);
      accounts.put(vm, account);
      if (cameForward.add(life)) {
        comesForward(report);
      }
    }
    account.report = report;
    account.held = report.held();
  }

  /** Takes a VM out that has fallen silent; what it holds counts on for the window. */
  void forget(VmId vm, long nowNs) {
    Account before = accounts.remove(vm);
    if (before != null) {
      Life life = new Life(vm, before.incarnation);
      formers.addLast(new Former(nowNs + windowNs, life, before.report.used(), before.held));
    }
  }

  private void comesForward(QuotaReport report) {
    add(heldByKnown, report.held());
    report
        .heldElsewhere()
        .forEach(
            (id, elsewhere) -> {
              double all = report.held().getOrDefault(id, 0.0) + elsewhere;
              heldBefore.merge(id, all, Math::max);
            });
  }

  /**
   * Allows a VM its part of what is left.
   *
   * @param vm a VM that has just told
   * @param limits what all VMs together may hold, for each customer with a quota
   * @param nowNs time
   * @return what the VM may take after what it told
   */
  QuotaGrant grant(VmId vm, Map<CustomerId, Double> limits, long nowNs) {
    while (!formers.isEmpty() && formers.peekFirst().untilNs() <= nowNs) {
      formers.removeFirst();
    }
    Account account = accounts.get(vm);
    Map<CustomerId, Double> usedElsewhere = new HashMap<>();
    Map<CustomerId, Double> allowances = new HashMap<>();
    Map<CustomerId, Double> heldElsewhere = new HashMap<>();
    Map<CustomerId, Double> held = new HashMap<>();
    limits.forEach(
        (id, limit) -> {
          double used = account.report.used().getOrDefault(id, 0.0);
          double othersUsed = usedByOthers(vm, id);
          double othersHold = heldByOthers(vm, id, nowNs);
          double left = Math.max(0, limit - used - othersUsed);
          double allowance =
              Math.max(0, Math.min(partOf(account, id, left), limit - othersHold - used));
          usedElsewhere.put(id, othersUsed);
          allowances.put(id, allowance);
          heldElsewhere.put(id, othersHold);
          held.put(id, Math.max(used + allowance, amount(account.report.held(), id)));
        });
    account.held = held;
    return new QuotaGrant(usedElsewhere, allowances, heldElsewhere);
  }

  private double usedByOthers(VmId vm, CustomerId customer) {
    double sum = formers.stream().mapToDouble(former -> amount(former.used(), customer)).sum();
    for (Map.Entry<VmId, Account> entry : accounts.entrySet()) {
      boolean other = !entry.getKey().equals(vm);
      sum += other ? amount(entry.getValue().report.used(), customer) : 0;
    }
    return sum;
  }

  private double heldByOthers(VmId vm, CustomerId customer, long nowNs) {
    double byFormers =
        formers.stream().mapToDouble(former -> amount(former.held(), customer)).sum();
    double sum = byFormers + heldByUnknown(customer, nowNs);
    for (Map.Entry<VmId, Account> entry : accounts.entrySet()) {
      boolean other = !entry.getKey().equals(vm);
      sum += other ? amount(entry.getValue().held, customer) : 0;
    }
    return sum;
  }

  /** Returns what is held by VMs that the leader before knew and that have not come forward. */
  private double heldByUnknown(CustomerId customer, long nowNs) {
    if (nowNs >= unknownUntilNs) {
      return 0;
    }
    return Math.max(0, amount(heldBefore, customer) - amount(heldByKnown, customer));
  }

  private double partOf(Account account, CustomerId customer, double left) {
    double total = 0;
    for (Account each : accounts.values()) {
      total += amount(each.report.demandPerSecond(), customer);
    }
    double even = left / accounts.size();
    double own = amount(account.report.demandPerSecond(), customer);
    double byDemand = total > 0 ? left * own / total : even;
    double evenPart = EVEN_PART * even;
    double part = evenPart + (1 - EVEN_PART) * byDemand;
    return Math.min(part, Math.max(evenPart, COVERED_S * own));
  }

  private static double amount(Map<CustomerId, Double> amounts, CustomerId customer) {
    return amounts.getOrDefault(customer, 0.0);
  }

  private static void add(Map<CustomerId, Double> sums, Map<CustomerId, Double> amounts) {
    amounts.forEach((id, amount) -> sums.merge(id, amount, Double::sum));
  }
}
