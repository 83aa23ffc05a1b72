package org.teaseltrail.core.forward;

import java.util.Collection;
import java.util.Comparator;
import java.util.List;
import java.util.Optional;
import java.util.OptionalDouble;
import java.util.random.RandomGenerator;
import org.teaseltrail.core.id.ServiceId;
import org.teaseltrail.core.id.UpstreamId;
import org.teaseltrail.core.registry.RegistrationPhase;

/**
 * Load balancing policy: selects the upstream with the least work in relation to its size and
 * speed, and prefers the one that is likely to have the prompt's prefix cached.
 */
final class LoadBalancingPolicy {

  /**
   * Prompt length whose prefill costs as much as the queue of an upstream at full utilization, in
   * tokens.
   */
  private static final double FULL_AFFINITY_TOKENS = 12_000;

  /** Maximum fraction of an upstream's slots that prefix affinity may outweigh. */
  private static final double MAX_AFFINITY = 0.5;

  /** Random tie breaker, so that VMs with the same view don't all select the same upstream. */
  private static final double JITTER = 0.02;

  /**
   * Bound on the measured slowness of an upstream; servers of one service differ in speed by a
   * factor of up to five.
   */
  private static final double MAX_SLOWNESS = 2.5;

  /**
   * Utilization of the slots of a plain HTTP service's upstream from which on requests are queued
   * here.
   */
  private static final double PLAIN_MAX_UTILIZATION = 2.0;

  /**
   * Slowness from which on an upstream receives no long prompts; it covers about the slowest third
   * of the servers.
   */
  private static final double SLOW = 1.4;

  /**
   * Prompt length that delays the streams of a slow upstream longer than callers accept, in tokens:
   * three prefill chunks, each of which takes as long there as eight tokens of every stream.
   */
  private static final int LONG_PROMPT_TOKENS = 6_000;

  private final RandomGenerator random;
  private final DealtSlotFilter dealtSlots;
  private final ConditionEstimator conditions;
  private final RejectionLimitTracker rejectionLimits;

  LoadBalancingPolicy(
      RandomGenerator random,
      DealtSlotFilter dealtSlots,
      ConditionEstimator conditions,
      RejectionLimitTracker rejectionLimits) {
    this.random = random;
    this.dealtSlots = dealtSlots;
    this.conditions = conditions;
    this.rejectionLimits = rejectionLimits;
  }

  /**
   * Selects an upstream for a request.
   *
   * @param request the request
   * @param upstreams the service's upstreams
   * @param engine whether the upstreams are engines
   * @param maxUtilization utilization of an engine's slots from which on the request is queued
   * @param nowNs current time, in nanoseconds
   * @return the upstream, empty if the request must be queued
   */
  Optional<UpstreamState> select(
      ActiveRequest request,
      Collection<UpstreamState> upstreams,
      boolean engine,
      double maxUtilization,
      long nowNs) {
    List<UpstreamState> candidates = candidates(request, upstreams, nowNs);
    if (rejectionLimits.isSensitive(request.service())) {
      return leastUsedOwnSlot(candidates, nowNs);
    }
    double utilizationLimit = engine ? maxUtilization : PLAIN_MAX_UTILIZATION;
    List<UpstreamState> withRoom = withRoom(candidates, utilizationLimit, nowNs);
    if (!dealtSlots.appliesTo(request.service())) {
      return best(request, candidates, candidates, withRoom, engine, nowNs);
    }
    if (!engine) {
      return drawByFreeRoom(candidates, withRoom, nowNs);
    }
    List<UpstreamState> dealt =
        dealtSlots.withDealtSlot(request.service(), withRoom, maxUtilization, nowNs);
    return best(request, candidates, dealt, dealt, true, nowNs);
  }

  /**
   * Selects the upstream where most of this VM's own slots are free. Sending to other slots would
   * risk a rejection, and the upstreams tolerate few of them.
   */
  private static Optional<UpstreamState> leastUsedOwnSlot(
      List<UpstreamState> candidates, long nowNs) {
    return candidates.stream()
        .filter(upstream -> upstream.freeOwnSlots() > 0 && upstream.hasCapacity(1, nowNs))
        .max(Comparator.comparingInt(UpstreamState::freeOwnSlots));
  }

  /**
   * Selects an upstream whether or not this VM may use a slot there by the leader's allocation: for
   * canary requests, whose number the leader limits by other means, and for streams that only few
   * upstreams can continue.
   */
  Optional<UpstreamState> selectIgnoringAllocation(
      ActiveRequest request,
      Collection<UpstreamState> upstreams,
      boolean engine,
      double maxUtilization,
      long nowNs) {
    List<UpstreamState> candidates = candidates(request, upstreams, nowNs);
    double utilizationLimit = engine ? maxUtilization : PLAIN_MAX_UTILIZATION;
    List<UpstreamState> withRoom = withRoom(candidates, utilizationLimit, nowNs);
    return best(request, candidates, candidates, withRoom, engine, nowNs);
  }

  private static List<UpstreamState> withRoom(
      List<UpstreamState> candidates, double maxUtilization, long nowNs) {
    return candidates.stream()
        .filter(upstream -> upstream.hasCapacity(maxUtilization, nowNs))
        .toList();
  }

  private Optional<UpstreamState> drawByFreeRoom(
      List<UpstreamState> candidates, List<UpstreamState> withRoom, long nowNs) {
    double meanLatencyMs = meanLatencyMs(candidates);
    return DealtSlotFilter.draw(
        withRoom,
        upstream ->
            (PLAIN_MAX_UTILIZATION * Math.max(1, upstream.registration().slots())
                    - upstream.load(nowNs))
                * upstream.successRate(nowNs)
                / slowness(upstream, meanLatencyMs, nowNs),
        random);
  }

  private Optional<UpstreamState> best(
      ActiveRequest request,
      List<UpstreamState> candidates,
      List<UpstreamState> cacheHolders,
      List<UpstreamState> withRoom,
      boolean engine,
      long nowNs) {
    Optional<String> preferred =
        engine
            ? lastPromptPart(request).flatMap(part -> preferredUpstream(part, cacheHolders))
            : Optional.empty();
    UpstreamScorer scorer =
        conditions.appliesTo(request.service())
            ? expectedTimeScorer(request, candidates, nowNs)
            : fixedRuleScorer(request, candidates, engine, nowNs);
    UpstreamState best = null;
    double bestScore = Double.POSITIVE_INFINITY;
    for (UpstreamState upstream : withRoom) {
      boolean isPreferred =
          preferred.isPresent() && preferred.get().equals(upstream.registration().id().value());
      OptionalDouble score = scorer.score(upstream, isPreferred);
      if (score.isPresent() && score.getAsDouble() < bestScore) {
        best = upstream;
        bestScore = score.getAsDouble();
      }
    }
    return Optional.ofNullable(best);
  }

  private ExpectedTimeScorer expectedTimeScorer(
      ActiveRequest request, List<UpstreamState> candidates, long nowNs) {
    return new ExpectedTimeScorer(
        conditions.estimate(request, nowNs), candidates, affinity(request), random, nowNs);
  }

  /** Returns the scorer for services whose upstreams' conditions aren't used. */
  private UpstreamScorer fixedRuleScorer(
      ActiveRequest request, List<UpstreamState> candidates, boolean engine, long nowNs) {
    double meanLatencyMs = meanLatencyMs(candidates);
    boolean avoidsSlowUpstreams =
        engine && avoidsSlowUpstreams(request, candidates, meanLatencyMs, nowNs);
    return (upstream, isPreferred) -> {
      double slowness = slowness(upstream, meanLatencyMs, nowNs);
      boolean tooSlow = slowness >= SLOW && (avoidsSlowUpstreams || upstream.unread() > 0);
      if (engine && tooSlow) {
        return OptionalDouble.empty();
      }
      int slots = Math.max(1, upstream.registration().slots());
      double work = (upstream.load(nowNs) + 1.0) / slots * slowness / upstream.successRate(nowNs);
      double score = work + random.nextDouble() * JITTER;
      return OptionalDouble.of(score - (isPreferred ? affinity(request) : 0));
    };
  }

  /** Returns whether a request has a long prompt and there is a faster upstream for it. */
  private static boolean avoidsSlowUpstreams(
      ActiveRequest request, List<UpstreamState> upstreams, double meanLatencyMs, long nowNs) {
    boolean isLong = request.request().promptTokens().orElse(0) >= LONG_PROMPT_TOKENS;
    return isLong
        && upstreams.stream().anyMatch(upstream -> slowness(upstream, meanLatencyMs, nowNs) < SLOW);
  }

  /**
   * Returns the slow upstreams, which process one prompt at a time: two at once would delay all
   * streams there longer than callers accept. Where upstreams' conditions are used, the leader
   * estimates the delay itself, and none is listed.
   */
  List<UpstreamId> slow(ServiceId service, Collection<UpstreamState> upstreams, long nowNs) {
    if (conditions.appliesTo(service)) {
      return List.of();
    }
    double meanLatencyMs = meanLatencyMs(List.copyOf(upstreams));
    return upstreams.stream()
        .filter(upstream -> slowness(upstream, meanLatencyMs, nowNs) >= SLOW)
        .map(upstream -> upstream.registration().id())
        .toList();
  }

  /**
   * Returns whether a request may be dispatched to the upstream that the leader selected for it.
   */
  boolean canDispatchTo(
      ActiveRequest request,
      Collection<UpstreamState> upstreams,
      UpstreamState selected,
      long nowNs) {
    List<UpstreamState> candidates = candidates(request, upstreams, nowNs);
    if (conditions.appliesTo(request.service())) {
      return candidates.contains(selected)
          && expectedTimeScorer(request, candidates, nowNs).accepts(selected);
    }
    double meanLatencyMs = meanLatencyMs(candidates);
    boolean tooSlow =
        slowness(selected, meanLatencyMs, nowNs) >= SLOW
            && avoidsSlowUpstreams(request, candidates, meanLatencyMs, nowNs);
    return candidates.contains(selected) && !tooSlow;
  }

  /** Returns the mean event latency of the upstreams for which one is known, otherwise 0. */
  private static double meanLatencyMs(List<UpstreamState> upstreams) {
    return upstreams.stream()
        .mapToDouble(UpstreamState::eventLatencyMs)
        .filter(latencyMs -> latencyMs > 0)
        .average()
        .orElse(0);
  }

  /**
   * Returns an upstream's event latency relative to the mean of the service, as servers of a
   * service differ in speed.
   */
  private static double slowness(UpstreamState upstream, double meanLatencyMs, long nowNs) {
    if (upstream.eventLatencyMs() == 0 || meanLatencyMs == 0) {
      return 1;
    }
    double ratio = upstream.eventLatencyMs() / meanLatencyMs;
    double bounded = Math.max(1 / MAX_SLOWNESS, Math.min(MAX_SLOWNESS, ratio));
    return 1 + (bounded - 1) * upstream.eventLatencyWeight(nowNs);
  }

  /** Returns whether any upstream could serve the request, now or once it has capacity. */
  boolean hasCandidate(ActiveRequest request, Collection<UpstreamState> upstreams) {
    return !untried(request, upstreams).isEmpty();
  }

  private static List<UpstreamState> candidates(
      ActiveRequest request, Collection<UpstreamState> upstreams, long nowNs) {
    List<UpstreamState> strict =
        accepting(request, upstreams, request.canTryAnotherUpstream(), nowNs);
    List<UpstreamState> accepting =
        strict.isEmpty() ? accepting(request, upstreams, true, nowNs) : strict;
    List<UpstreamState> eligible =
        accepting.stream().filter(upstream -> upstream.isEligible(nowNs)).toList();
    return eligible.isEmpty() ? accepting : eligible;
  }

  /** Returns the upstreams that a request may be sent to now. */
  private static List<UpstreamState> accepting(
      ActiveRequest request,
      Collection<UpstreamState> upstreams,
      boolean canTryAnother,
      long nowNs) {
    return upstreams.stream()
        .filter(upstream -> isUntried(request, upstream))
        .filter(upstream -> upstream.backpressure().canSend(canTryAnother, nowNs))
        .toList();
  }

  /** Returns when the first upstream that the request may go to accepts requests again. */
  static long availableFromNs(
      ActiveRequest request, Collection<UpstreamState> upstreams, long nowNs) {
    return availableFromNs(untried(request, upstreams), nowNs);
  }

  /**
   * Returns when the first of the upstreams accepts requests again: now, or at the end of its
   * backoff.
   */
  static long availableFromNs(Collection<UpstreamState> upstreams, long nowNs) {
    return upstreams.stream()
        .filter(upstream -> !upstream.backpressure().isLeaving())
        .mapToLong(upstream -> upstream.backpressure().backoffEndNs())
        .map(untilNs -> Math.max(nowNs, untilNs))
        .min()
        .orElse(nowNs);
  }

  private static List<UpstreamState> untried(
      ActiveRequest request, Collection<UpstreamState> upstreams) {
    return upstreams.stream().filter(upstream -> isUntried(request, upstream)).toList();
  }

  /**
   * Returns whether an upstream is known to accept requests, has not received this one yet, and can
   * continue its stream if that has begun.
   */
  private static boolean isUntried(ActiveRequest request, UpstreamState upstream) {
    return upstream.registration().phase() == RegistrationPhase.READY
        && !upstream.isMisdirected()
        && !upstream.backpressure().isLeaving()
        && !request.hasTried(upstream.registration().id())
        && request.canContinueAt(upstream.registration());
  }

  private static Optional<String> lastPromptPart(ActiveRequest request) {
    List<PromptPart> prompt = request.request().prompt();
    return prompt.isEmpty() ? Optional.empty() : Optional.of(prompt.get(prompt.size() - 1).id());
  }

  private static double affinity(ActiveRequest request) {
    int tokens = request.request().promptTokens().orElse(0);
    return Math.min(MAX_AFFINITY, tokens / FULL_AFFINITY_TOKENS);
  }

  /**
   * Returns the upstream where a prompt's prefix is most likely cached. All VMs compute the same
   * one without communication (rendezvous hashing, Thaler and Ravishankar, 1998), and few prompts
   * move when an upstream joins or leaves.
   */
  private static Optional<String> preferredUpstream(String part, List<UpstreamState> candidates) {
    String preferred = null;
    long maxWeight = Long.MIN_VALUE;
    for (UpstreamState upstream : candidates) {
      String id = upstream.registration().id().value();
      long weight = mix(part.hashCode() * 31L + id.hashCode());
      if (weight > maxWeight) {
        maxWeight = weight;
        preferred = id;
      }
    }
    return Optional.ofNullable(preferred);
  }

  /** Mixes the bits of a number (the finalizer of SplitMix64, Steele et al., 2014). */
  private static long mix(long number) {
    long mixed = (number ^ (number >>> 30)) * 0xbf58476d1ce4e5b9L;
    mixed = (mixed ^ (mixed >>> 27)) * 0x94d049bb133111ebL;
    return mixed ^ (mixed >>> 31);
  }
}
