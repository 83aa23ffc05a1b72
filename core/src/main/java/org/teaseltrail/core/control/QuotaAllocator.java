package org.teaseltrail.core.control;

import java.util.ArrayList;
import java.util.Comparator;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.TreeMap;
import java.util.function.ToDoubleFunction;
import org.teaseltrail.core.id.CustomerId;
import org.teaseltrail.core.id.Incarnation;
import org.teaseltrail.core.id.VmId;
import org.teaseltrail.core.quota.QuotaGrant;
import org.teaseltrail.core.quota.QuotaReport;

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
 *   <li>Another member leads: see {@link InheritedQuotaUsage}.
 * </ul>
 */
final class QuotaAllocator {

  /**
   * Part of the rest that is divided evenly, since callers may move to any VM at once. A VM that
   * lacks more asks for it, so it needs to cover no more than some requests.
   */
  private static final double EVEN_RATIO = 0.15;

  /**
   * Time of its customers' usual demand that a VM is allowed at most beyond the even part: two
   * thirds of a session's lifetime, for which the VM may serve without a leader. What leaves the
   * window comes to it besides. No more, since a killed VM takes what it was allowed with it for a
   * window: with three seconds, a VM that is started anew each second leaves its customers 0.54 of
   * their quota.
   */
  private static final double DEMAND_COVER_S = 2;

  /**
   * Time after the beginning of a leadership in which VMs get no more than they hold: a sync and a
   * half, in which all that can have told. Guards against a VM that comes first and knows nothing,
   * as one that was just started: it would be allowed what others hold that have not told yet.
   */
  private static final long SETTLING_NS = 400_000_000L;

  /**
   * The same if nobody who has told remembers an earlier leader, as after a restart of all: VMs
   * without a session tell every tenth of a second, and one that has a session every quarter.
   */
  private static final long FRESH_SETTLING_NS = 250_000_000L;

  /**
   * Part of a quota by which all VMs together may come to hold more until a VM tells again; each is
   * told that the others may hold so much beyond what they do. Guards against a VM that grows and
   * is lost together with the leader: the next leader knows what it held only from the others, who
   * were told before. A second of a quota's rate is a ninth of it, so a prompt of so much can be
   * allowed at once; with a twentieth, 12 of 230 requests within their quota are refused where one
   * prompt in nine takes more than a second of the rate, with a tenth 3. What it costs: after the
   * loss of a leader as much is held back for the quota's window.
   */
  private static final double GROWTH_RATIO = 0.1;

  private static final long NS_PER_MS = 1_000_000L;

  private record Life(VmId vm, Incarnation incarnation) {}

  private record Account(Life life, Map<CustomerId, VmQuotaAccount> lines) {

    double sum(CustomerId customer, ToDoubleFunction<VmQuotaAccount> amount) {
      VmQuotaAccount line = lines.get(customer);
      return line == null ? 0 : amount.applyAsDouble(line);
    }
  }

  private final long windowMs;
  private final long beganNs;
  private final InheritedQuotaUsage inheritance;
  private final Map<VmId, Account> accounts = new TreeMap<>(Comparator.comparing(VmId::value));
  private final List<Account> ended = new ArrayList<>();
  private final Set<Life> cameForward = new HashSet<>();
  private final Map<CustomerId, Double> firstParts = new HashMap<>();
  private final Map<CustomerId, QuotaTokenBucket> buckets = new HashMap<>();

  /**
   * Creates a ledger that knows no VM.
   *
   * @param windowMs time over which quotas are counted, in milliseconds
   * @param silentNs time after which a silent VM no longer uses what it was allowed
   * @param nowNs when this member began to lead
   */
  QuotaAllocator(long windowMs, long silentNs, long nowNs) {
    this.windowMs = windowMs;
    beganNs = nowNs;
    inheritance = new InheritedQuotaUsage(nowNs + silentNs + windowMs * NS_PER_MS);
  }

  /** Takes what a VM tells. */
  void recordReport(VmId vm, Incarnation incarnation, List<QuotaReport> uses, long nowNs) {
    Life life = new Life(vm, incarnation);
    Account known = accounts.get(vm);
    if (known != null && !known.life().equals(life)) {
      removeVm(vm, nowNs);
    }
    if (cameForward.add(life)) {
      uses.forEach(use -> inheritance.recordFirstReport(use, nowNs));
    }
    ended.removeIf(account -> account.life().equals(life));
    Account account = accounts.computeIfAbsent(vm, id -> new Account(life, new HashMap<>()));
    for (QuotaReport use : uses) {
      VmQuotaAccount line = account.lines().get(use.customer());
      if (line == null) {
        account.lines().put(use.customer(), new VmQuotaAccount(windowMs, use, nowNs));
      } else {
        bucketUsed(use.customer(), line.recordReport(use, nowNs));
      }
    }
  }

  private void bucketUsed(CustomerId customer, double amount) {
    QuotaTokenBucket bucket = buckets.get(customer);
    if (bucket != null) {
      bucket.used(amount);
    }
  }

  /** Takes a VM out that has fallen silent; what it holds counts on for the window. */
  void removeVm(VmId vm, long nowNs) {
    Account account = accounts.remove(vm);
    if (account != null) {
      account.lines().values().forEach(line -> line.end(nowNs));
      ended.add(account);
    }
  }

  /**
   * Allows a VM its part of what is left.
   *
   * @param vm a VM that has just told
   * @param limits how much there is to hand out, for each customer with a quota
   * @param nowNs time
   * @return what the VM may take after what it told
   */
  List<QuotaGrant> allocate(VmId vm, Map<CustomerId, QuotaLimit> limits, long nowNs) {
    dropOutOfWindow(nowNs);
    List<QuotaGrant> grants = new ArrayList<>();
    limits.forEach((customer, limit) -> grants.add(grant(vm, customer, limit, nowNs)));
    return grants;
  }

  private QuotaGrant grant(VmId vm, CustomerId customer, QuotaLimit quota, long nowNs) {
    double limit = quota.grantable();
    VmQuotaAccount line = line(vm, customer, nowNs);
    OtherVmsQuotaSummary others = others(vm, customer, nowNs);
    double used = line.used(nowNs);
    double usedByEnded = ofEnded(customer, each -> each.used(nowNs));
    double heldByEnded = usedByEnded + inheritance.heldByEnded(customer, nowNs);
    double usedElsewhere = others.used() + usedByEnded;
    double heldElsewhere = others.held() + inheritance.heldByUnreportedVms(customer, nowNs);
    double leftInWindow = Math.max(0, limit - used - usedElsewhere);
    double left = Math.min(leftInWindow, leftNow(customer, quota, leftInWindow, nowNs));
    double free = limit - used - heldElsewhere - heldByEnded;
    double part = isSettling(nowNs) ? firstPart(line, customer, quota) : part(line, others, left);
    double grown = line.remainingAllowance() + others.maxGrowth(limit);
    double spendable = Math.max(0, left - others.remainingAllowance());
    double most = Math.min(Math.min(free, spendable), grown);
    double allowance = Math.max(0, Math.min(part, most));
    allow(line, others, allowance, nowNs);
    line.setOthersMaxGrowth(GROWTH_RATIO * limit);
    double mostElsewhere = Math.max(heldElsewhere, limit - line.held(nowNs) - heldByEnded);
    return new QuotaGrant(
        customer,
        allowance,
        usedElsewhere,
        Math.min(mostElsewhere, heldElsewhere + GROWTH_RATIO * limit),
        heldByEnded,
        endedForNs(customer, nowNs) / NS_PER_MS);
  }

  private double leftNow(CustomerId customer, QuotaLimit quota, double leftInWindow, long nowNs) {
    return buckets
        .computeIfAbsent(
            customer,
            id -> new QuotaTokenBucket(Math.min(quota.burstCapacity(), leftInWindow), nowNs))
        .level(quota.perSecond(), quota.burstCapacity(), nowNs);
  }

  private boolean isSettling(long nowNs) {
    long settlingNs = inheritance.hasEarlierUsage() ? SETTLING_NS : FRESH_SETTLING_NS;
    return nowNs - beganNs < settlingNs;
  }

  private VmQuotaAccount line(VmId vm, CustomerId customer, long nowNs) {
    return accounts
        .get(vm)
        .lines()
        .computeIfAbsent(
            customer,
            id -> new VmQuotaAccount(windowMs, new QuotaReport(id, 0, 0, 0, 0, 0, 0, 0, 0), nowNs));
  }

  private static void allow(
      VmQuotaAccount line, OtherVmsQuotaSummary others, double allowance, long nowNs) {
    double heldBefore = line.held(nowNs);
    line.raiseAllowance(allowance);
    double growth = line.held(nowNs) - heldBefore;
    others.recentReporters().forEach(witness -> witness.consumeOthersGrowth(growth));
  }

  /** Adds up what all VMs but one hold of a customer's quota. */
  private OtherVmsQuotaSummary others(VmId vm, CustomerId customer, long nowNs) {
    OtherVmsQuotaSummary.Builder sum = new OtherVmsQuotaSummary.Builder(nowNs);
    for (Account account : accounts.values()) {
      VmQuotaAccount line = account.lines().get(customer);
      if (line != null && !account.life().vm().equals(vm)) {
        sum.add(line);
      }
    }
    return sum.toSummary();
  }

  /**
   * Returns what a VM is allowed of what is left: by demand, and a part that is the same for all.
   */
  private double part(VmQuotaAccount line, OtherVmsQuotaSummary others, double left) {
    double own = line.demandPerSecond();
    double total = own + others.demandPerSecond();
    double even = left / accounts.size();
    double evenPart = EVEN_RATIO * even;
    double byDemand = total > 0 ? left * own / total : even;
    double part = evenPart + (1 - EVEN_RATIO) * byDemand;
    double covered = Math.min(part, Math.max(evenPart, DEMAND_COVER_S * own));
    return Math.max(covered, Math.min(left, line.wanted()));
  }

  /**
   * Returns what a VM is allowed before all have told: what it may take already. If nobody knows of
   * an earlier leader, what requests wait for, out of what is kept for things a new leader can't
   * know.
   *
   * <p>Guards against callers that are refused as over their quota after all VMs were restarted,
   * though they have used nothing of it yet: that lasted as long as the settling.
   */
  private double firstPart(VmQuotaAccount line, CustomerId customer, QuotaLimit quota) {
    double keptLeft = quota.reserved() - firstParts.getOrDefault(customer, 0.0);
    if (inheritance.hasEarlierUsage() || keptLeft <= 0) {
      return line.remainingAllowance();
    }
    double more = Math.min(line.wanted(), keptLeft);
    firstParts.merge(customer, more, Double::sum);
    return line.remainingAllowance() + more;
  }

  private double ofEnded(CustomerId customer, ToDoubleFunction<VmQuotaAccount> amount) {
    return ended.stream().mapToDouble(account -> account.sum(customer, amount)).sum();
  }

  private long endedForNs(CustomerId customer, long nowNs) {
    double longest =
        ended.stream()
            .mapToDouble(account -> account.sum(customer, line -> line.timeUntilEmptyNs(nowNs)))
            .max()
            .orElse(0);
    return Math.max((long) longest, inheritance.endedForNs(customer, nowNs));
  }

  private void dropOutOfWindow(long nowNs) {
    ended.removeIf(
        account -> account.lines().values().stream().allMatch(line -> line.held(nowNs) <= 0));
  }
}
