package org.teaseltrail.core.schedule;

import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.Deque;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Random;
import java.util.Set;
import java.util.function.Predicate;
import org.teaseltrail.core.id.FencingNumber;
import org.teaseltrail.core.id.Incarnation;
import org.teaseltrail.core.id.RequestId;
import org.teaseltrail.core.id.UpstreamId;
import org.teaseltrail.core.id.VmId;
import org.teaseltrail.core.message.ControlMessage;
import org.teaseltrail.core.message.DeclineReason;
import org.teaseltrail.core.message.EndKind;
import org.teaseltrail.core.message.EntryMessage;
import org.teaseltrail.core.message.Ticket;
import org.teaseltrail.core.message.WithdrawReason;
import org.teaseltrail.core.upstream.CacheEvent;
import org.teaseltrail.core.upstream.UpstreamPhase;

/**
 * Runs a scheduler through a random session with two VMs: offers, late and repeated messages,
 * expired VM sessions, scheduler takeovers, and upstreams that join and leave. It models the state
 * at the VMs and checks the scheduler's actions against it; the scheduler's own invariants are
 * checked as well.
 */
final class RandomSession {

  private static final List<VmId> VMS = List.of(new VmId("vm-1"), new VmId("vm-2"));
  private static final int UPSTREAMS = 4;
  private static final int AUDIT_EVERY = 16;

  private final Random random;
  private final Map<RequestId, CallerRequest> requests = new HashMap<>();
  private final Deque<Delivery> inbox = new ArrayDeque<>();
  private final Map<String, UpstreamPhase> phases = new HashMap<>();
  private final Set<String> drained = new HashSet<>();
  private final Map<String, Long> incarnations = new HashMap<>();
  private final List<SchedulerEvent> claims = new ArrayList<>();
  private PoolFixture pool;
  private long fencing = 1;
  private int created;
  private int steps;
  private int grants;
  private int refusals;

  RandomSession(long seed) {
    random = new Random(seed);
    pool = newScheduler();
  }

  private record Delivery(VmId vm, ControlMessage message) {}

  private PoolFixture newScheduler() {
    PoolFixture fresh = new PoolFixture(SchedulerSettings.defaults(), fencing);
    fresh.maxWaitingMs(500);
    fresh.customer("c1", 1, 0, 0, 3);
    fresh.customer("c2", 2, 50, 5, 1);
    fresh.customer("c3", 3, 0, 0, 1);
    for (int i = 1; i <= UPSTREAMS; i++) {
      fresh.allow("u" + i, drained.contains("u" + i));
    }
    return fresh;
  }

  int grants() {
    return grants;
  }

  int refusals() {
    return refusals;
  }

  void run(int count) {
    handleActions(pool.configure());
    for (int i = 1; i <= UPSTREAMS; i++) {
      announce("u" + i);
    }
    for (int i = 0; i < count; i++) {
      step();
    }
    finishAll();
  }

  private void step() {
    pool.nowMs += random.nextInt(20);
    switch (random.nextInt(16)) {
      case 0, 1, 2, 3 -> offerNew();
      case 4, 5, 6 -> deliver();
      case 7, 8 -> tokens();
      case 9, 10 -> end();
      case 11 -> claim();
      case 12 -> repeatMessage();
      case 13 -> changeUpstream();
      case 14 -> withdraw();
      default -> rareStep();
    }
    if (++steps % AUDIT_EVERY == 0) {
      pool.scheduler.audit();
    }
  }

  private void rareStep() {
    switch (random.nextInt(12)) {
      case 0 -> takeOver();
      case 1 -> lapse();
      case 2 -> toggleDrain();
      case 3 -> pool.nowMs += PoolFixture.LIFETIME_MS;
      default -> handleActions(pool.tick());
    }
  }

  private void offerNew() {
    int tier = 1 + random.nextInt(3);
    int prompt = 1 + (int) StrictMath.exp(random.nextDouble() * 9);
    long deadlineMs = random.nextInt(3) == 0 ? 100 + random.nextInt(2_000) : 0;
    List<Long> blocks = new ArrayList<>();
    long conversation = random.nextInt(10);
    for (long i = 0; i < prompt / 256; i++) {
      blocks.add(conversation * 1_000 + i);
    }
    Ticket ticket =
        PoolFixture.ticket(
            "r" + ++created,
            "c" + tier,
            tier,
            prompt,
            1 + random.nextInt(200),
            deadlineMs,
            random.nextInt(4) == 0,
            blocks);
    CallerRequest request = new CallerRequest(ticket, VMS.get(random.nextInt(VMS.size())));
    requests.put(ticket.request(), request);
    send(request, new EntryMessage.Offer(ticket));
  }

  /** Delivers one message to its VM; occasionally not the oldest one. */
  private void deliver() {
    if (inbox.isEmpty()) {
      return;
    }
    Delivery delivery = random.nextInt(5) == 0 ? inbox.pollLast() : inbox.pollFirst();
    if (delivery.message() instanceof ControlMessage.Grant grant) {
      granted(requests.get(grant.request()), grant);
    } else if (delivery.message() instanceof ControlMessage.Recall recall) {
      recalled(requests.get(recall.request()), recall);
    } else if (delivery.message() instanceof ControlMessage.Refused refused) {
      requests.get(refused.request()).refused();
    }
  }

  /**
   * Declines a recalled grant. A grant of the request that is still undelivered is discarded, since
   * it was sent before the recall on the same connection.
   */
  private void recalled(CallerRequest request, ControlMessage.Recall recall) {
    boolean current = recall.fencing().value() == fencing;
    if (current && request.isWaiting()) {
      inbox.removeIf(earlier -> isGrantOf(recall.request(), earlier.message()));
      request.voidGrant();
      EntryMessage declined =
          new EntryMessage.Declined(recall.request(), recall.upstream(), DeclineReason.LEAVING);
      send(request, declined);
    }
  }

  private static boolean isGrantOf(RequestId request, ControlMessage message) {
    return message instanceof ControlMessage.Grant grant && grant.request().equals(request);
  }

  private void granted(CallerRequest request, ControlMessage.Grant grant) {
    boolean current = grant.fencing().value() == fencing;
    if (current && request.isWaiting() && random.nextInt(8) > 0) {
      request.dispatched(grant.upstream());
      return;
    }
    DeclineReason[] reasons = DeclineReason.values();
    DeclineReason reason =
        request.isWaiting() && current
            ? reasons[random.nextInt(3)]
            : current ? DeclineReason.UNKNOWN_REQUEST : DeclineReason.STALE_GRANT;
    if (!request.isRunning()) {
      if (current) {
        request.voidGrant();
      }
      send(request, new EntryMessage.Declined(grant.request(), grant.upstream(), reason));
    }
  }

  private void tokens() {
    CallerRequest request = pickRandom(CallerRequest::isRunning);
    if (request != null) {
      int tokens = request.addTokens(1 + random.nextInt(20));
      RequestId id = request.id();
      send(
          request,
          random.nextBoolean()
              ? new EntryMessage.FirstToken(id, request.upstream(), random.nextInt(500))
              : new EntryMessage.Progress(id, request.upstream(), tokens));
    }
  }

  private void end() {
    CallerRequest request = pickRandom(CallerRequest::isRunning);
    if (request != null) {
      request.ended();
      send(request, request.endMessage(EndKind.values()[random.nextInt(3)]));
    }
  }

  private void claim() {
    if (!claims.isEmpty()) {
      handleActions(pool.handle(claims.remove(random.nextInt(claims.size()))));
    }
  }

  /** Sends a duplicate or late message about a request. */
  private void repeatMessage() {
    CallerRequest request = pickRandom(r -> true);
    if (request == null) {
      return;
    }
    if (request.isEnded() && request.upstream() != null) {
      send(request, request.endMessage(EndKind.COMPLETED));
      send(request, new EntryMessage.FirstToken(request.id(), request.upstream(), 5));
    }
    send(request, new EntryMessage.Offer(request.ticket()));
  }

  private void withdraw() {
    CallerRequest request = pickRandom(CallerRequest::isWaiting);
    if (request != null) {
      request.refused();
      request.voidGrant();
      WithdrawReason[] reasons = WithdrawReason.values();
      WithdrawReason reason = reasons[random.nextInt(reasons.length)];
      send(request, new EntryMessage.Withdraw(request.id(), reason));
    }
  }

  private void changeUpstream() {
    String upstream = "u" + (1 + random.nextInt(UPSTREAMS));
    switch (random.nextInt(6)) {
      case 0 -> phases.put(upstream, UpstreamPhase.LEAVING);
      case 1 -> incarnations.merge(upstream, 2L, (old, one) -> old + 1);
      case 2 -> cacheEvent(upstream);
      default -> phases.put(upstream, UpstreamPhase.SERVING);
    }
    announce(upstream);
  }

  private void cacheEvent(String upstream) {
    long block = random.nextInt(10) * 1_000L;
    CacheEvent event =
        new CacheEvent(
            new UpstreamId(upstream),
            new Incarnation(incarnations.getOrDefault(upstream, 1L)),
            random.nextInt(100),
            List.of(block, block + 1),
            List.of(block + 2));
    handleActions(pool.send(VMS.get(0), new EntryMessage.CacheSeen(event)));
  }

  private void announce(String upstream) {
    UpstreamPhase phase = phases.getOrDefault(upstream, UpstreamPhase.SERVING);
    handleActions(pool.announce(upstream, incarnations.getOrDefault(upstream, 1L), phase));
  }

  private void toggleDrain() {
    String upstream = "u" + (1 + random.nextInt(UPSTREAMS));
    if (!drained.remove(upstream)) {
      drained.add(upstream);
    }
    pool.allow(upstream, drained.contains(upstream));
    handleActions(pool.configure());
  }

  /** Expires the session of a VM, which then reports its requests in a new session at once. */
  private void lapse() {
    VmId vm = VMS.get(random.nextInt(VMS.size()));
    handleActions(pool.handle(new SchedulerEvent.VmSessionExpired(vm)));
    report(vm);
  }

  private void takeOver() {
    fencing++;
    claims.clear();
    requests.values().forEach(CallerRequest::voidGrant);
    long nowMs = pool.nowMs;
    Map<UpstreamId, Long> sequences = pool.sequences;
    pool = newScheduler();
    pool.nowMs = nowMs;
    pool.sequences.putAll(sequences);
    handleActions(pool.configure());
    handleActions(pool.handle(new SchedulerEvent.ReportsAwaited(new HashSet<>(VMS))));
    for (int i = 1; i <= UPSTREAMS; i++) {
      announce("u" + i);
    }
    VMS.forEach(this::report);
  }

  private void report(VmId vm) {
    for (CallerRequest request : List.copyOf(requests.values())) {
      if (!request.vm().equals(vm) || request.isEnded()) {
        continue;
      }
      if (request.isRunning()) {
        int tokens = request.addTokens(0);
        UpstreamId upstream = request.upstream();
        send(request, new EntryMessage.StillRunning(request.ticket(), upstream, tokens, 10));
      } else {
        send(request, new EntryMessage.Offer(request.ticket()));
      }
    }
    handleActions(pool.send(vm, new EntryMessage.ReportsComplete(vm, new FencingNumber(fencing))));
  }

  /** Runs until all requests have ended, and fails if one never does. */
  private void finishAll() {
    phases.clear();
    for (int round = 0; round < 4_000 && pickRandom(r -> !r.isEnded()) != null; round++) {
      pool.nowMs += 100;
      for (int i = 1; i <= UPSTREAMS; i++) {
        drained.remove("u" + i);
        pool.allow("u" + i, false);
        announce("u" + i);
      }
      handleActions(round == 0 ? pool.configure() : pool.tick());
      while (!inbox.isEmpty()) {
        deliver();
      }
      claim();
      end();
    }
    pool.scheduler.audit();
    if (pickRandom(r -> !r.isEnded()) != null) {
      throw new AssertionError("never answered: " + pickRandom(r -> !r.isEnded()).id());
    }
  }

  private void send(CallerRequest request, EntryMessage message) {
    handleActions(pool.send(request.vm(), message));
  }

  private void handleActions(List<SchedulerAction> actions) {
    for (SchedulerAction action : actions) {
      if (action instanceof SchedulerAction.Send send) {
        checkMessage(send.message());
        inbox.add(new Delivery(send.vm(), send.message()));
      } else if (action instanceof SchedulerAction.CommitClaim commit) {
        RequestId id = commit.ticket().request();
        claims.add(new SchedulerEvent.ClaimGranted(id));
      }
    }
  }

  private void checkMessage(ControlMessage message) {
    if (message instanceof ControlMessage.Grant grant) {
      grants++;
      requests.get(grant.request()).checkMayBeGranted(grant.upstream());
      String upstream = grant.upstream().value();
      boolean leaves = phases.get(upstream) == UpstreamPhase.LEAVING || drained.contains(upstream);
      if (leaves) {
        throw new AssertionError(grant.request() + " was granted " + upstream + ", which leaves");
      }
    } else if (message instanceof ControlMessage.Refused refused) {
      refusals++;
      requests.get(refused.request()).checkMayBeRefused();
    }
  }

  private CallerRequest pickRandom(Predicate<CallerRequest> wanted) {
    List<CallerRequest> found = requests.values().stream().filter(wanted).toList();
    return found.isEmpty() ? null : found.get(random.nextInt(found.size()));
  }
}
