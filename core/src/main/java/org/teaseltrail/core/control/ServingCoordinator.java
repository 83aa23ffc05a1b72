package org.teaseltrail.core.control;

import java.util.Comparator;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.OptionalLong;
import java.util.Set;
import java.util.SplittableRandom;
import java.util.TreeMap;
import java.util.random.RandomGenerator;
import java.util.stream.LongStream;
import org.teaseltrail.core.collection.OrderedCopies;
import org.teaseltrail.core.contention.ContentionSettings;
import org.teaseltrail.core.id.ServiceId;
import org.teaseltrail.core.id.UpstreamId;
import org.teaseltrail.core.id.VmId;
import org.teaseltrail.core.message.EntryMessage;
import org.teaseltrail.core.quota.QuotaPolicy;
import org.teaseltrail.core.registry.Registration;
import org.teaseltrail.core.registry.RegistrationPhase;
import org.teaseltrail.core.registry.UpstreamIncarnation;
import org.teaseltrail.core.replication.Member;
import org.teaseltrail.core.replication.Membership;
import org.teaseltrail.core.rollout.TrafficPolicy;
import org.teaseltrail.core.serving.ServingMessage;
import org.teaseltrail.core.serving.ServingReply;
import org.teaseltrail.core.serving.UpstreamSlots;
import org.teaseltrail.core.state.ClusterState;
import org.teaseltrail.core.state.Command;
import org.teaseltrail.core.stream.StreamOrigin;
import org.teaseltrail.core.upstream.Announcement;

/**
 * Coordinates, on the leader, the entry VMs that place requests themselves: confirms their
 * sessions, pushes the plan and the registrations, and sends each VM the slots in use and the quota
 * usage at the other VMs.
 */
final class ServingCoordinator {

  private static final long NS_PER_MS = 1_000_000L;

  /**
   * Time without a sync after which a VM no longer counts; equal to the usual lifetime of a
   * session.
   */
  private static final long VM_TIMEOUT_NS = 3_000 * NS_PER_MS;

  /** Time after which a push that was not confirmed is sent again: four sync intervals. */
  private static final long PUSH_RETRY_NS = 1_000 * NS_PER_MS;

  /**
   * Time without a heartbeat after which an upstream is removed: a dozen heartbeat intervals of 1.2
   * s. Entry VMs detect a dead upstream much sooner by failed requests; an upstream that only can't
   * reach the control members continues to serve meanwhile.
   */
  private static final long UPSTREAM_TIMEOUT_NS = 15_000 * NS_PER_MS;

  private static final long CHECK_INTERVAL_NS = 1_000 * NS_PER_MS;

  /**
   * Time after the start of a leadership in which no slots are granted and no slot usage is sent:
   * one sync of each VM. A new leader would take the slots of VMs that have not reported yet for
   * free, and engines would be filled twice.
   */
  private static final long SLOTS_SETTLING_NS = 300 * NS_PER_MS;

  private static final class VmState {
    private ServingMessage.Sync sync;
    private long heardNs;
    private final PushState plan = new PushState();
    private final PushState registry = new PushState();
    private final PushState quarantine = new PushState();
    private final PushState rollouts = new PushState();

    private void forgetPushes() {
      List.of(plan, registry, quarantine, rollouts).forEach(PushState::forget);
    }
  }

  /** The version of one kind of state that was last pushed to a VM, and when. */
  private static final class PushState {
    private long version = Long.MIN_VALUE;
    private long atNs;

    private void forget() {
      version = Long.MIN_VALUE;
    }

    /** Returns whether a version must be sent, and records it as sent if so. */
    private boolean isDue(long held, long newest, long nowNs) {
      boolean sentRecently = version == newest && nowNs - atNs < PUSH_RETRY_NS;
      if (held >= newest || sentRecently) {
        return false;
      }
      version = newest;
      atNs = nowNs;
      return true;
    }
  }

  private final Leadership leadership;
  private final Map<VmId, VmState> vms = new TreeMap<>(Comparator.comparing(VmId::value));
  private final Map<UpstreamId, Long> lastHeartbeatsNs = new HashMap<>();
  private final Map<UpstreamId, Integer> inFlight = new HashMap<>();
  private final QuotaLimits quotaLimits;
  private final QuotaAllocator quotas;
  private final SlotAllocator slots;
  private final LeaderFeature slotSharing;
  private final SlotShareReporter slotShareReporter = new SlotShareReporter();
  private final SlotShareAllocator slotShares;
  private final LeaderFeature dealtSlots;
  private final ContentionMonitor contention = new ContentionMonitor();
  private final QuarantineCoordinator quarantine;
  private final RolloutCoordinator rollouts;
  private final RateLimitCoordinator limits;
  private final TrafficEligibility eligibility;
  private final WaitForecastSender forecasts;
  private final ConditionCoordinator conditions;
  private final PeerCoordinator peers;
  private final RejectionLimitCoordinator rejectionLimits;
  private final RandomGenerator random;
  private final long slotsSettledNs;
  private Set<ServiceId> announcedContended = Set.of();
  private Membership memberVmsSource = Membership.empty();
  private List<VmId> memberVms = List.of();
  private long nextCheckNs;
  private List<ServiceId> mixedServices = List.of();
  private long mixedServicesRevision = -1;
  private long mixedServicesExpiryNs;

  ServingCoordinator(Leadership leadership) {
    this.leadership = leadership;
    ContentionSettings features = leadership.context().settings().contention();
    slotSharing = new LeaderFeature(features.slotShares(), leadership);
    slots = new SlotAllocator(new ServiceGrantOrder(slotSharing::appliesTo), new DealtSlotsView());
    QuotaPolicy policy = leadership.context().settings().quotas();
    quotaLimits = new QuotaLimits(policy);
    quotas = new QuotaAllocator(policy.windowMs(), VM_TIMEOUT_NS, leadership.nowNs());
    dealtSlots = new LeaderFeature(features.dealtSlots(), leadership);
    rejectionLimits = new RejectionLimitCoordinator(leadership);
    slotShares =
        new SlotShareAllocator(
            this::areSlotsOwned, this::areAllSlotsGranted, rejectionLimits::isSensitive);
    quarantine = new QuarantineCoordinator(leadership);
    rollouts = new RolloutCoordinator(leadership, new VmsView());
    limits = new RateLimitCoordinator(leadership);
    eligibility = new TrafficEligibility(limits);
    forecasts = new WaitForecastSender(leadership, slots, limits);
    conditions = new ConditionCoordinator(leadership);
    peers = new PeerCoordinator(leadership);
    random = new SplittableRandom(leadership.context().settings().seed());
    slotsSettledNs = leadership.nowNs() + SLOTS_SETTLING_NS;
  }

  void message(ServingMessage message) {
    if (message instanceof ServingMessage.Sync sync) {
      sync(sync);
    } else if (message instanceof ServingMessage.Lines lines) {
      slots.lines(lines, leadership.nowNs());
      slotShareReporter.heard(lines, leadership.nowNs());
      if (!dealtSlots.isOff() && vms.containsKey(lines.vm())) {
        slotShares.recordInFlight(lines.vm(), lines.inFlight());
      }
      announceContention();
      grantSlots();
      announceContention();
      sendForecasts();
    } else if (message instanceof ServingMessage.Losses losses) {
      pushIf(quarantine.message(losses));
    } else if (message instanceof ServingMessage.Rollouts report) {
      rollouts.message(report);
    } else if (message instanceof ServingMessage.Limits report) {
      limits.message(report, eligibility.eligible(state()));
    } else if (message instanceof ServingMessage.Conditions report) {
      conditions.message(report);
    } else if (message instanceof ServingMessage.RejectionLimits report) {
      rejectionLimits.message(report, vms.keySet());
      announceContention();
    } else if (message instanceof ServingMessage.Paths announcement) {
      if (vms.containsKey(announcement.vm())) {
        peers.message(announcement);
      }
    }
  }

  /** Sends a VM with a new connection again what it has not confirmed: that may be lost. */
  void onConnected(VmId vm) {
    Optional.ofNullable(vms.get(vm)).ifPresent(VmState::forgetPushes);
  }

  /** Pushes updates to all VMs if the state to send has changed. */
  private void pushIf(boolean changed) {
    if (changed) {
      vms.forEach(this::pushMissing);
    }
  }

  private void sync(ServingMessage.Sync sync) {
    VmState vm = stateOf(sync);
    countInFlight(sync, 1);
    vm.sync = sync;
    vm.heardNs = leadership.nowNs();
    slots.heard(sync.vm(), sync.inFlight(), leadership.nowNs());
    slotShares.heard(sync.vm(), wanted(sync));
    slotShares.recordInFlight(sync.vm(), sync.inFlight());
    quotas.recordReport(sync.vm(), sync.incarnation(), sync.quotas(), vm.heardNs);
    limits.onSync(sync);
    rejectionLimits.sendIfDue(sync.vm());
    pushMissing(sync.vm(), vm);
    leadership.sendServing(sync.vm(), confirmation(sync));
    grantSlots();
  }

  /**
   * Returns the state of the VM that sends a sync, without its previous sync. A new incarnation of
   * the VM holds nothing of what was sent to the one before.
   */
  private VmState stateOf(ServingMessage.Sync sync) {
    VmState known = vms.get(sync.vm());
    if (known != null) {
      countInFlight(known.sync, -1);
      if (known.sync.incarnation().equals(sync.incarnation())) {
        return known;
      }
      rejectionLimits.forget(sync.vm());
      slots.removeVm(sync.vm());
    }
    VmState created = new VmState();
    vms.put(sync.vm(), created);
    return created;
  }

  /** Adds a VM's requests in flight to the totals of all VMs, or subtracts them. */
  private void countInFlight(ServingMessage.Sync sync, int sign) {
    sync.inFlight()
        .forEach(
            (id, count) -> {
              int sum = inFlight.getOrDefault(id, 0) + sign * count;
              if (sum == 0) {
                inFlight.remove(id);
              } else {
                inFlight.put(id, sum);
              }
            });
  }

  /** Returns the number of a VM's requests for each service, including waiting ones. */
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

  /**
   * Notifies all VMs immediately when the leader starts or stops granting the slots of a service.
   */
  private void announceContention() {
    Set<ServiceId> contended = contended();
    if (!contended.equals(announcedContended)) {
      announcedContended = contended;
      ServingReply.Contention update =
          new ServingReply.Contention(leadership.fencing(), List.copyOf(contended));
      vms.keySet().forEach(vm -> leadership.sendServing(vm, update));
    }
  }

  private Set<ServiceId> contended() {
    if (!areSlotsSettled()) {
      return Set.of();
    }
    Set<ServiceId> contended = contention.contended(leadership.nowNs());
    slots.contended(leadership.nowNs()).stream()
        .filter(service -> !dealtSlots.appliesTo(service))
        .forEach(contended::add);
    contended.addAll(rejectionLimits.services());
    return OrderedCopies.setOf(contended);
  }

  /** Returns the services with waiting requests that get slots from the leader. */
  private Set<ServiceId> granted() {
    Set<ServiceId> granted = new HashSet<>(contended());
    if (areSlotsSettled() && !dealtSlots.isOff()) {
      Set<ServiceId> queued = slots.queued();
      contention.retainWaiting(queued);
      queued.stream().filter(dealtSlots::appliesTo).forEach(granted::add);
    }
    return granted;
  }

  /** Returns whether each slot of a service belongs to one VM while there is no leader. */
  private boolean areSlotsOwned(ServiceId service) {
    return dealtSlots.appliesTo(service) || rejectionLimits.isSensitive(service);
  }

  /** Returns whether the leader grants all slots of a service, and VMs use none by themselves. */
  private boolean areAllSlotsGranted(ServiceId service) {
    return contention.isReported(service, leadership.nowNs())
        || rejectionLimits.isSensitive(service);
  }

  private boolean areSlotsSettled() {
    return leadership.nowNs() >= slotsSettledNs;
  }

  private void grantSlots() {
    for (ServiceId service : granted()) {
      List<Registration> upstreams = eligibility.grantable(state(), service);
      for (SlotAllocator.Grant grant :
          slots.allocate(
              service,
              upstreams,
              () -> conditions.selector(service, upstreams),
              leadership.nowNs())) {
        slotShareReporter.granted(grant);
        forecasts.granted(grant);
        leadership.sendServing(
            grant.vm(),
            new ServingReply.SlotGrant(
                leadership.fencing(),
                grant.sequence(),
                grant.service(),
                grant.upstream(),
                grant.urgency(),
                grant.customer()));
      }
      logSlotShares(service, upstreams);
      if (dealtSlots.appliesTo(service)) {
        long nowNs = leadership.nowNs();
        contention.record(service, slots.hasUngranted(service, nowNs), nowNs);
      }
    }
  }

  private void logSlotShares(ServiceId service, List<Registration> upstreams) {
    if (!slotSharing.appliesTo(service)) {
      return;
    }
    List<SlotShare> shares = slotShareReporter.takeReport(service, leadership.nowNs());
    if (!shares.isEmpty()) {
      int slotCount =
          upstreams.stream()
              .filter(upstream -> upstream.phase() == RegistrationPhase.READY)
              .mapToInt(Registration::slots)
              .sum();
      leadership.context().actions().slotShares(service, slotCount, shares);
    }
  }

  private void sendForecasts() {
    forecasts.sendDue(
        contended(), service -> eligibility.grantable(state(), service), vms.keySet());
  }

  /** Pushes newly committed state to all VMs. */
  void onCommit() {
    quarantine.refresh();
    rollouts.onCommit();
    vms.forEach(this::pushMissing);
  }

  /** Returns a random VM among those that have sent a sync recently. */
  Optional<VmId> pickRandomVm() {
    return vms.isEmpty()
        ? Optional.empty()
        : vms.keySet().stream().skip(random.nextInt(vms.size())).findFirst();
  }

  /** Processes losses that a VM reports whose requests this leader schedules. */
  void onLosses(ServingMessage.Losses losses) {
    pushIf(quarantine.message(losses));
  }

  /** Records that an upstream announced itself to an entry VM. */
  void onAnnounced(EntryMessage.UpstreamSeen seen) {
    Announcement heard = seen.announcement();
    long heardNs = leadership.nowNs() - seen.heardMs() * NS_PER_MS;
    UpstreamIncarnation upstream =
        new UpstreamIncarnation(heard.upstream(), heard.incarnation().value());
    pushIf(quarantine.onAlive(upstream, heardNs));
  }

  /**
   * Returns the suspect and the quarantined requests for a VM whose requests this leader schedules,
   * or empty if neither the leader nor the VM knows of any.
   */
  Optional<ServingReply.QuarantineUpdate> quarantineFor(EntryMessage.Hello hello) {
    boolean isNeeded = hello.losses().isPresent() || quarantine.hasSuspects();
    return isNeeded ? Optional.of(quarantine.buildUpdate()) : Optional.empty();
  }

  /** Removes and returns the trial that a VM may start with its next hello. */
  Optional<ServingReply.Trial> takeTrial(VmId vm) {
    return quarantine.takeTrial(vm);
  }

  /** Records an upstream's heartbeat. */
  void onHeartbeat(Registration heard) {
    lastHeartbeatsNs.put(heard.id(), leadership.nowNs());
    rollouts.onHeartbeat(heard);
    pushIf(quarantine.onHeartbeat(heard));
  }

  void tick() {
    announceContention();
    sendForecasts();
    rollouts.tick();
    conditions.tick(vms.keySet());
    peers.tick();
    long nowNs = leadership.nowNs();
    if (nowNs < nextCheckNs) {
      return;
    }
    nextCheckNs = nowNs + CHECK_INTERVAL_NS;
    vms.entrySet()
        .removeIf(
            entry -> {
              boolean timedOut = nowNs - entry.getValue().heardNs > VM_TIMEOUT_NS;
              if (timedOut) {
                countInFlight(entry.getValue().sync, -1);
                quotas.removeVm(entry.getKey(), nowNs);
                slots.removeVm(entry.getKey());
                slotShareReporter.removeVm(entry.getKey());
                slotShares.removeVm(entry.getKey());
                rollouts.removeVm(entry.getKey());
                limits.removeVm(entry.getKey());
                peers.removeVm(entry.getKey());
                rejectionLimits.forget(entry.getKey());
              }
              return timedOut;
            });
    removeSilentUpstreams(nowNs);
    limits.retain(state().registry().present());
    pushIf(quarantine.tick());
  }

  OptionalLong nextWakeupNs() {
    return LongStream.of(
            nextCheckNs,
            rollouts.nextWakeupNs().orElse(Long.MAX_VALUE),
            forecasts.nextWakeupNs(),
            conditions.nextWakeupNs().orElse(Long.MAX_VALUE),
            peers.nextWakeupNs().orElse(Long.MAX_VALUE))
        .min();
  }

  private void removeSilentUpstreams(long nowNs) {
    List<Registration> present = state().registry().present();
    lastHeartbeatsNs.keySet().removeIf(id -> state().registry().find(id).isEmpty());
    for (Registration registration : present) {
      long heardNs = lastHeartbeatsNs.computeIfAbsent(registration.id(), id -> nowNs);
      if (nowNs - heardNs > UPSTREAM_TIMEOUT_NS) {
        lastHeartbeatsNs.remove(registration.id());
        long logTimeMs = leadership.logTimeMs(nowNs);
        leadership.proposeBestEffort(new Command.DropUpstream(registration.id(), logTimeMs));
      }
    }
  }

  private void pushMissing(VmId id, VmState vm) {
    long nowNs = leadership.nowNs();
    // The quarantine is sent before the updates that let a VM serve: a VM that has just started
    // must not send quarantined requests.
    if (vm.quarantine.isDue(vm.sync.quarantineRevision(), quarantine.revision(), nowNs)) {
      leadership.sendServing(id, quarantine.buildUpdate());
    }
    long rolloutRevision = state().rollouts().revision();
    boolean hasRollouts = vm.sync.rolloutRevision() >= rolloutRevision;
    if (vm.rollouts.isDue(vm.sync.rolloutRevision(), rolloutRevision, nowNs)) {
      leadership.sendServing(id, rollouts.buildUpdate());
      hasRollouts = true;
    }
    if (vm.plan.isDue(vm.sync.planVersion(), planVersion(), nowNs)) {
      leadership.sendServing(
          id,
          new ServingReply.PlanUpdate(leadership.fencing(), state().plan().orElseThrow().plan()));
    }
    long revision = state().registry().revision();
    // A VM that missed the rollout update would send all kinds of requests to upstreams of the
    // target version.
    if (hasRollouts && vm.registry.isDue(vm.sync.registryRevision(), revision, nowNs)) {
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
        areSlotsSettled() ? places(sync) : UpstreamSlots.NONE,
        List.copyOf(contended()),
        quotas.allocate(sync.vm(), quotaLimits.of(state().plan()), leadership.nowNs()),
        Optional.of(mixedServices()));
  }

  private List<ServiceId> mixedServices() {
    long revision = state().registry().revision();
    if (revision != mixedServicesRevision || leadership.nowNs() >= mixedServicesExpiryNs) {
      mixedServicesRevision = revision;
      mixedServicesExpiryNs = leadership.nowNs() + CHECK_INTERVAL_NS;
      mixedServices = state().versions().mixedServices(state().registry().present(), logTimeMs());
    }
    return mixedServices;
  }

  /** Returns the only origin that a recent stream of a service can have. */
  Optional<StreamOrigin> findOnlyOrigin(ServiceId service) {
    return state().versions().onlyOrigin(service, state().registry().present(), logTimeMs());
  }

  private long logTimeMs() {
    return leadership.logTimeMs(leadership.nowNs());
  }

  private UpstreamSlots places(ServingMessage.Sync sync) {
    Map<UpstreamId, Integer> own = sync.inFlight();
    Map<UpstreamId, Integer> ownParts =
        slotShares.sharesOf(
            sync.vm(),
            state().registry(),
            upstream -> TrafficEligibility.policyOf(state(), upstream) == TrafficPolicy.ALL,
            state().rollouts().revision(),
            leadership.nowNs());
    return UpstreamSlots.of(
        state().registry().present(),
        id -> inFlight.getOrDefault(id, 0) - own.getOrDefault(id, 0),
        id -> ownParts.getOrDefault(id, 0));
  }

  private List<VmId> memberVms() {
    Membership membership = leadership.context().stateMachine().membership();
    if (membership != memberVmsSource) {
      memberVmsSource = membership;
      memberVms = membership.all().map(Member::vm).distinct().toList();
    }
    return memberVms;
  }

  private long planVersion() {
    return state().plan().map(held -> held.plan().version()).orElse(ClusterState.NO_PLAN);
  }

  private ClusterState state() {
    return leadership.context().stateMachine().state();
  }

  /** Provides the allocation of slots with those that are dealt. */
  private final class DealtSlotsView implements SlotAllocator.DealtSlots {

    @Override
    public boolean isDealt(ServiceId service) {
      return dealtSlots.appliesTo(service);
    }

    @Override
    public boolean areUsedByVms(ServiceId service) {
      return isDealt(service) && !areAllSlotsGranted(service);
    }

    @Override
    public int count(VmId vm, UpstreamId upstream) {
      return slotShares.dealtAt(vm, upstream);
    }

    @Override
    public Map<UpstreamId, Integer> sentTo(VmId vm) {
      return slotShares.sentTo(vm);
    }
  }

  /** Provides rollouts with the state of the entry VMs. */
  private final class VmsView implements RolloutCoordinator.EntryVmsView {

    @Override
    public RolloutMonitor.TrafficShiftState handOver(ServiceId service) {
      long revision = state().rollouts().revision();
      boolean propagating =
          vms.values().stream().anyMatch(vm -> vm.sync.rolloutRevision() < revision);
      // At the start of a leadership most VMs have not reported yet.
      if (propagating || !areSlotsSettled()) {
        return RolloutMonitor.TrafficShiftState.PROPAGATING;
      }
      boolean inProgress =
          state().registry().present().stream()
              .filter(upstream -> upstream.service().equals(service))
              .filter(
                  upstream -> TrafficEligibility.policyOf(state(), upstream) == TrafficPolicy.NONE)
              .anyMatch(upstream -> inFlight(upstream.id()) > 0);
      return inProgress
          ? RolloutMonitor.TrafficShiftState.FINISHING
          : RolloutMonitor.TrafficShiftState.FINISHED;
    }

    @Override
    public int inFlight(UpstreamId upstream) {
      return inFlight.getOrDefault(upstream, 0);
    }
  }
}
