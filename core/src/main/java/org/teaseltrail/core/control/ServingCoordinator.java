package org.teaseltrail.core.control;

import java.util.Comparator;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.OptionalLong;
import java.util.Set;
import java.util.SplittableRandom;
import java.util.TreeMap;
import java.util.random.RandomGenerator;
import java.util.stream.Collectors;
import org.teaseltrail.core.id.CustomerId;
import org.teaseltrail.core.id.ServiceId;
import org.teaseltrail.core.id.UpstreamId;
import org.teaseltrail.core.id.VmId;
import org.teaseltrail.core.plan.PlanCustomer;
import org.teaseltrail.core.quota.QuotaPolicy;
import org.teaseltrail.core.registry.Registration;
import org.teaseltrail.core.replication.Member;
import org.teaseltrail.core.rollout.TrafficPolicy;
import org.teaseltrail.core.serving.ServingMessage;
import org.teaseltrail.core.serving.ServingReply;
import org.teaseltrail.core.serving.UpstreamSlots;
import org.teaseltrail.core.state.ClusterState;
import org.teaseltrail.core.state.Command;

/**
 * Serves, on the leader, the entry VMs that place requests themselves: confirms their sessions,
 * pushes the plan and the registrations, and tells each what goes on elsewhere.
 */
final class ServingCoordinator {

  private static final long NS_PER_MS = 1_000_000L;

  /** Silence after which a VM no longer counts; a session's lifetime in the users' settings. */
  private static final long VM_TIMEOUT_NS = 3_000 * NS_PER_MS;

  /** Time after which a push that shows no effect is sent again: four syncs. */
  private static final long PUSH_RETRY_NS = 1_000 * NS_PER_MS;

  /**
   * Silence after which an upstream is dropped: a dozen of the users' heartbeats of 1.2 s. Entry
   * VMs notice a dead one much sooner by its failures; one that only can't reach the control
   * members goes on serving meanwhile.
   */
  private static final long UPSTREAM_TIMEOUT_NS = 15_000 * NS_PER_MS;

  /**
   * Part of what may pass a quota by mistake that is handed out to the VMs: as much more as each
   * has in hand, the fewer callers are refused while others don't use theirs. The rest is kept for
   * what a new leader can't know.
   */
  private static final double GRANTED_TOLERANCE_RATIO = 0.7;

  private static final long CHECK_INTERVAL_NS = 1_000 * NS_PER_MS;

  /**
   * Time after the beginning of a leadership in which nothing is told or handed out of upstreams'
   * places: a sync of each VM. Guards against engines that are filled twice when the leader
   * changes: the new one took the places of VMs it had not heard of yet for free.
   */
  private static final long SLOTS_SETTLING_NS = 300 * NS_PER_MS;

  private static final class Vm {
    private ServingMessage.Sync sync;
    private long heardNs;
    private final Push plan = new Push();
    private final Push registry = new Push();
    private final Push quarantine = new Push();
    private final Push rollouts = new Push();
  }

  /** Remembers which version of something was pushed to a VM, and when. */
  private static final class Push {
    private long version = Long.MIN_VALUE;
    private long atNs;

    /** Tells whether a version must be sent, and takes it as sent then. */
    private boolean isDue(long held, long newest, long nowNs) {
      boolean sentLately = version == newest && nowNs - atNs < PUSH_RETRY_NS;
      if (held >= newest || sentLately) {
        return false;
      }
      version = newest;
      atNs = nowNs;
      return true;
    }
  }

  private final Leadership leadership;
  private final Map<VmId, Vm> vms = new TreeMap<>(Comparator.comparing(VmId::value));
  private final Map<UpstreamId, Long> heartbeatsNs = new HashMap<>();
  private final Map<UpstreamId, Integer> inFlight = new HashMap<>();
  private final QuotaPolicy quotaBounds;
  private final QuotaAllocator quotas;
  private final SlotAllocator slots = new SlotAllocator();
  private final SlotShareAllocator shares = new SlotShareAllocator();
  private final QuarantineCoordinator quarantine;
  private final RolloutCoordinator rollouts;
  private final RateLimitCoordinator limits;
  private final RandomGenerator random;
  private final long placesSettledNs;
  private Set<ServiceId> toldContended = Set.of();
  private long nextCheckNs;

  ServingCoordinator(Leadership leadership) {
    this.leadership = leadership;
    quotaBounds = leadership.context().settings().quotas();
    quotas = new QuotaAllocator(quotaBounds.windowMs(), VM_TIMEOUT_NS, leadership.nowNs());
    quarantine = new QuarantineCoordinator(leadership);
    rollouts = new RolloutCoordinator(leadership, new VmsView());
    limits = new RateLimitCoordinator(leadership);
    random = new SplittableRandom(leadership.context().settings().seed());
    placesSettledNs = leadership.nowNs() + SLOTS_SETTLING_NS;
  }

  void message(ServingMessage message) {
    if (message instanceof ServingMessage.Sync sync) {
      sync(sync);
    } else if (message instanceof ServingMessage.Lines lines) {
      slots.lines(lines, leadership.nowNs());
      tellContention();
      handOutPlaces();
    } else if (message instanceof ServingMessage.Losses losses) {
      tellIf(quarantine.message(losses));
    } else if (message instanceof ServingMessage.Rollouts told) {
      rollouts.message(told);
    } else if (message instanceof ServingMessage.Limits told) {
      limits.message(told, notBarred());
    }
  }

  /** Pushes to all VMs if what they are told has changed. */
  private void tellIf(boolean changed) {
    if (changed) {
      vms.forEach(this::pushWhatIsMissing);
    }
  }

  private void sync(ServingMessage.Sync sync) {
    Vm vm = vms.computeIfAbsent(sync.vm(), id -> new Vm());
    if (vm.sync != null) {
      countInFlight(vm.sync, -1);
    }
    countInFlight(sync, 1);
    vm.sync = sync;
    vm.heardNs = leadership.nowNs();
    slots.heard(sync.vm(), sync.inFlight(), leadership.nowNs());
    shares.heard(sync.vm(), wanted(sync));
    quotas.recordReport(sync.vm(), sync.incarnation(), sync.quotas(), vm.heardNs);
    limits.onSync(sync);
    pushWhatIsMissing(sync.vm(), vm);
    leadership.sendServing(sync.vm(), confirmation(sync));
    handOutPlaces();
  }

  /** Adds what a VM has at upstreams to what all have there, or takes it off. */
  private void countInFlight(ServingMessage.Sync sync, int sign) {
    sync.inFlight().forEach((id, count) -> inFlight.merge(id, sign * count, Integer::sum));
    inFlight.values().removeIf(count -> count == 0);
  }

  /** Returns how many requests a VM has at each service, those that wait among them. */
  private Map<ServiceId, Integer> wanted(ServingMessage.Sync sync) {
    Map<ServiceId, Integer> wanted = slots.waiting(sync.vm());
    sync.inFlight()
        .forEach(
            (upstream, count) ->
                state()
                    .registry()
                    .find(upstream)
                    .ifPresent(known -> wanted.merge(known.service(), count, Integer::sum)));
    return wanted;
  }

  /** Tells all VMs at once when places begin or cease to be handed out. */
  private void tellContention() {
    Set<ServiceId> contended = contended();
    if (!contended.equals(toldContended)) {
      toldContended = contended;
      ServingReply.Contention told =
          new ServingReply.Contention(leadership.fencing(), List.copyOf(contended));
      vms.keySet().forEach(vm -> leadership.sendServing(vm, told));
    }
  }

  private Set<ServiceId> contended() {
    return knowsPlaces() ? slots.contended(leadership.nowNs()) : Set.of();
  }

  private boolean knowsPlaces() {
    return leadership.nowNs() >= placesSettledNs;
  }

  private void handOutPlaces() {
    for (ServiceId service : contended()) {
      List<Registration> upstreams =
          state().registry().present().stream()
              .filter(registration -> registration.service().equals(service))
              .filter(this::isFree)
              .filter(upstream -> !limits.isLimited(upstream))
              .toList();
      for (SlotAllocator.Grant grant : slots.allocate(service, upstreams, leadership.nowNs())) {
        leadership.sendServing(
            grant.vm(),
            new ServingReply.SlotGrant(
                leadership.fencing(),
                grant.sequence(),
                grant.service(),
                grant.upstream(),
                grant.urgency()));
      }
    }
  }

  private List<Registration> notBarred() {
    return state().registry().present().stream()
        .filter(upstream -> useOf(upstream) != TrafficPolicy.NONE)
        .toList();
  }

  private boolean isFree(Registration upstream) {
    return useOf(upstream) == TrafficPolicy.ALL;
  }

  private TrafficPolicy useOf(Registration upstream) {
    return state()
        .rollouts()
        .find(upstream.service())
        .map(rollout -> rollout.trafficPolicy(upstream.version()))
        .orElse(TrafficPolicy.ALL);
  }

  /** Pushes what was just committed to all VMs. */
  void onCommit() {
    quarantine.refresh();
    rollouts.onCommit();
    vms.forEach(this::pushWhatIsMissing);
  }

  /** Returns any VM that was heard of lately, another each time. */
  Optional<VmId> pickRandomVm() {
    return vms.isEmpty()
        ? Optional.empty()
        : vms.keySet().stream().skip(random.nextInt(vms.size())).findFirst();
  }

  /** Notes an upstream's heartbeat. */
  void onHeartbeat(Registration heard) {
    heartbeatsNs.put(heard.id(), leadership.nowNs());
    rollouts.onHeartbeat(heard);
    tellIf(quarantine.onHeartbeat(heard));
  }

  void tick() {
    tellContention();
    rollouts.tick();
    long nowNs = leadership.nowNs();
    if (nowNs < nextCheckNs) {
      return;
    }
    nextCheckNs = nowNs + CHECK_INTERVAL_NS;
    vms.entrySet()
        .removeIf(
            entry -> {
              boolean silent = nowNs - entry.getValue().heardNs > VM_TIMEOUT_NS;
              if (silent) {
                countInFlight(entry.getValue().sync, -1);
                quotas.removeVm(entry.getKey(), nowNs);
                slots.removeVm(entry.getKey());
                shares.removeVm(entry.getKey());
                rollouts.removeVm(entry.getKey());
                limits.removeVm(entry.getKey());
              }
              return silent;
            });
    dropSilentUpstreams(nowNs);
    limits.retain(state().registry().present());
    tellIf(quarantine.tick());
  }

  OptionalLong nextWakeupNs() {
    return OptionalLong.of(Math.min(nextCheckNs, rollouts.nextWakeupNs().orElse(Long.MAX_VALUE)));
  }

  private void dropSilentUpstreams(long nowNs) {
    List<Registration> present = state().registry().present();
    heartbeatsNs.keySet().removeIf(id -> state().registry().find(id).isEmpty());
    for (Registration registration : present) {
      long heardNs = heartbeatsNs.computeIfAbsent(registration.id(), id -> nowNs);
      if (nowNs - heardNs > UPSTREAM_TIMEOUT_NS) {
        heartbeatsNs.remove(registration.id());
        long logTimeMs = leadership.logTimeMs(nowNs);
        leadership.proposeBestEffort(new Command.DropUpstream(registration.id(), logTimeMs));
      }
    }
  }

  private void pushWhatIsMissing(VmId id, Vm vm) {
    long nowNs = leadership.nowNs();
    // Before what lets a VM serve: one that starts anew must not send what is held.
    if (vm.quarantine.isDue(vm.sync.quarantineRevision(), quarantine.revision(), nowNs)) {
      leadership.sendServing(id, quarantine.buildUpdate());
    }
    long rolloutRevision = state().rollouts().revision();
    boolean knowsRollouts = vm.sync.rolloutRevision() >= rolloutRevision;
    if (vm.rollouts.isDue(vm.sync.rolloutRevision(), rolloutRevision, nowNs)) {
      leadership.sendServing(id, rollouts.buildUpdate());
      knowsRollouts = true;
    }
    if (vm.plan.isDue(vm.sync.planVersion(), planVersion(), nowNs)) {
      leadership.sendServing(
          id,
          new ServingReply.PlanUpdate(leadership.fencing(), state().plan().orElseThrow().plan()));
    }
    long revision = state().registry().revision();
    // One that lost the rollouts on their way would send freely to what is ordered.
    if (knowsRollouts && vm.registry.isDue(vm.sync.registryRevision(), revision, nowNs)) {
      leadership.sendServing(
          id,
          new ServingReply.RegistryUpdate(
              leadership.fencing(), revision, state().registry().present()));
    }
  }

  private ServingReply.Confirmed confirmation(ServingMessage.Sync sync) {
    return new ServingReply.Confirmed(
        leadership.fencing(),
        sync.sequence(),
        planVersion(),
        state().registry().revision(),
        vms.size(),
        memberVms(),
        knowsPlaces() ? places(sync.vm()) : UpstreamSlots.NONE,
        List.copyOf(contended()),
        quotas.allocate(sync.vm(), quotaLimits(), leadership.nowNs()));
  }

  private UpstreamSlots places(VmId asking) {
    Map<UpstreamId, Integer> elsewhere = new HashMap<>(inFlight);
    vms.get(asking).sync.inFlight().forEach((up, own) -> elsewhere.merge(up, -own, Integer::sum));
    return UpstreamSlots.of(
        state().registry().present(),
        elsewhere,
        shares.sharesOf(asking, state().registry(), leadership.nowNs()));
  }

  /** Returns what there is to hand out of each customer's quota. */
  private Map<CustomerId, QuotaLimit> quotaLimits() {
    return state().plan().stream()
        .flatMap(held -> held.plan().customers().stream())
        .filter(PlanCustomer::hasQuota)
        .collect(Collectors.toMap(PlanCustomer::id, this::quotaLimit));
  }

  private QuotaLimit quotaLimit(PlanCustomer customer) {
    double handedOut = GRANTED_TOLERANCE_RATIO * quotaBounds.tolerance(customer);
    double kept = quotaBounds.tolerance(customer) - handedOut;
    return new QuotaLimit(
        quotaBounds.limit(customer) + handedOut,
        customer.quotaPerSecond(),
        customer.quotaBurst() + handedOut,
        kept);
  }

  private List<VmId> memberVms() {
    return leadership
        .context()
        .stateMachine()
        .membership()
        .all()
        .map(Member::vm)
        .distinct()
        .toList();
  }

  private long planVersion() {
    return state().plan().map(held -> held.plan().version()).orElse(ClusterState.NO_PLAN);
  }

  private ClusterState state() {
    return leadership.context().stateMachine().state();
  }

  /** Tells those who carry rollouts out of the VMs. */
  private final class VmsView implements RolloutCoordinator.EntryVmsView {

    @Override
    public RolloutMonitor.TrafficShiftState handOver(ServiceId service) {
      long revision = state().rollouts().revision();
      boolean untold = vms.values().stream().anyMatch(vm -> vm.sync.rolloutRevision() < revision);
      // Right after the beginning of a leadership most VMs have not told anything yet.
      if (untold || !knowsPlaces()) {
        return RolloutMonitor.TrafficShiftState.PROPAGATING;
      }
      boolean finishing =
          state().registry().present().stream()
              .filter(upstream -> upstream.service().equals(service))
              .filter(upstream -> useOf(upstream) == TrafficPolicy.NONE)
              .anyMatch(upstream -> inFlight(upstream.id()) > 0);
      return finishing
          ? RolloutMonitor.TrafficShiftState.FINISHING
          : RolloutMonitor.TrafficShiftState.FINISHED;
    }

    @Override
    public int inFlight(UpstreamId upstream) {
      return inFlight.getOrDefault(upstream, 0);
    }
  }
}
