package org.teaseltrail.core.forward;

import java.util.Collection;
import java.util.List;
import java.util.Optional;
import java.util.random.RandomGenerator;
import org.teaseltrail.core.id.UpstreamId;
import org.teaseltrail.core.registry.RegistrationPhase;

/**
 * Chooses the upstream for a request: the one with the least work for its size, that which is known
 * to hold the prompt's parts before others.
 */
final class LoadBalancingPolicy {

  /** Prompt length whose prefill costs as much as a full upstream's queue, in tokens. */
  private static final double FULL_AFFINITY_TOKENS = 12_000;

  /** Greatest part of an upstream's places that affinity may outweigh. */
  private static final double MAX_AFFINITY = 0.5;

  /** Draws between equals, so that many VMs with the same view don't all choose the same. */
  private static final double JITTER = 0.02;

  /** Bound on how far a measured speed counts; the users' servers differ by a factor of five. */
  private static final double MOST_SLOWNESS = 2.5;

  /** Requests at a plain service's upstream, in relation to its places, beyond which ours wait. */
  private static final double PLAIN_FILL = 2.0;

  /** Slowness from which on an upstream gets no long prompts; the slow third of the users'. */
  private static final double SLOW = 1.4;

  /**
   * Prompt tokens that hold up the streams of a slow upstream longer than callers accept: three of
   * the users' chunks, each of which takes it as long as eight tokens of every stream.
   */
  private static final int LONG_PROMPT_TOKENS = 6_000;

  private final RandomGenerator random;

  LoadBalancingPolicy(RandomGenerator random) {
    this.random = random;
  }

  /**
   * Chooses an upstream.
   *
   * @param tracked the request
   * @param views the service's upstreams
   * @param engine whether they are engines
   * @param fill requests at an engine, in relation to its places, beyond which the request waits
   * @param nowNs monotonic time
   * @return the upstream, or empty if the request must wait
   */
  Optional<UpstreamState> select(
      ActiveRequest tracked,
      Collection<UpstreamState> views,
      boolean engine,
      double fill,
      long nowNs) {
    List<UpstreamState> usable = usable(tracked, views, nowNs);
    double allowedFill = engine ? fill : PLAIN_FILL;
    Optional<String> home =
        engine ? lastPart(tracked).flatMap(part -> homeOf(part, usable)) : Optional.empty();
    double usualPaceMs = usualPaceMs(usable);
    boolean avoidsSlow = engine && avoidsSlow(tracked, usable, usualPaceMs, nowNs);
    UpstreamState best = null;
    double bestScore = Double.POSITIVE_INFINITY;
    for (UpstreamState view : usable) {
      if (!view.hasCapacity(allowedFill, nowNs)) {
        continue;
      }
      double slowness = slowness(view, usualPaceMs, nowNs);
      boolean tooSlow = slowness >= SLOW && (avoidsSlow || view.unread() > 0);
      if (engine && tooSlow) {
        continue;
      }
      int slots = Math.max(1, view.registration().slots());
      double work = (view.load(nowNs) + 1.0) / slots * slowness / view.successRate(nowNs);
      double score = work + random.nextDouble() * JITTER;
      boolean isHome = home.isPresent() && home.get().equals(view.registration().id().value());
      score -= isHome ? affinity(tracked) : 0;
      if (score < bestScore) {
        best = view;
        bestScore = score;
      }
    }
    return Optional.ofNullable(best);
  }

  /** Tells whether a request has a long prompt and there is a quicker upstream for it. */
  private static boolean avoidsSlow(
      ActiveRequest tracked, List<UpstreamState> views, double usualPaceMs, long nowNs) {
    boolean isLong = tracked.request().promptTokens().orElse(0) >= LONG_PROMPT_TOKENS;
    return isLong && views.stream().anyMatch(view -> slowness(view, usualPaceMs, nowNs) < SLOW);
  }

  /**
   * Returns the upstreams where one prompt after the other is to be read, as two at once would hold
   * up all streams there longer than callers accept.
   */
  List<UpstreamId> slow(Collection<UpstreamState> views, long nowNs) {
    double usualPaceMs = usualPaceMs(List.copyOf(views));
    return views.stream()
        .filter(view -> slowness(view, usualPaceMs, nowNs) >= SLOW)
        .map(view -> view.registration().id())
        .toList();
  }

  /** Tells whether a request may go to an upstream that was chosen for it. */
  boolean canDispatchTo(
      ActiveRequest tracked, Collection<UpstreamState> views, UpstreamState chosen, long nowNs) {
    List<UpstreamState> usable = usable(tracked, views, nowNs);
    double usualPaceMs = usualPaceMs(usable);
    boolean tooSlow =
        slowness(chosen, usualPaceMs, nowNs) >= SLOW
            && avoidsSlow(tracked, usable, usualPaceMs, nowNs);
    return usable.contains(chosen) && !tooSlow;
  }

  /** Returns the mean pace of the upstreams that have one, or 0. */
  private static double usualPaceMs(List<UpstreamState> views) {
    return views.stream()
        .mapToDouble(UpstreamState::eventLatencyMs)
        .filter(paceMs -> paceMs > 0)
        .average()
        .orElse(0);
  }

  /** Returns how much longer an upstream takes than usual; servers of a service differ in speed. */
  private static double slowness(UpstreamState view, double usualPaceMs, long nowNs) {
    if (view.eventLatencyMs() == 0 || usualPaceMs == 0) {
      return 1;
    }
    double ratio = view.eventLatencyMs() / usualPaceMs;
    double bounded = Math.max(1 / MOST_SLOWNESS, Math.min(MOST_SLOWNESS, ratio));
    return 1 + (bounded - 1) * view.eventLatencyWeight(nowNs);
  }

  /** Tells whether any upstream could take the request, now or when it has room. */
  boolean hasCandidate(ActiveRequest tracked, Collection<UpstreamState> views) {
    return !untried(tracked, views).isEmpty();
  }

  private static List<UpstreamState> usable(
      ActiveRequest tracked, Collection<UpstreamState> views, long nowNs) {
    List<UpstreamState> careful = allowing(tracked, views, tracked.canTryAnotherUpstream(), nowNs);
    List<UpstreamState> allowing =
        careful.isEmpty() ? allowing(tracked, views, true, nowNs) : careful;
    List<UpstreamState> trusted = allowing.stream().filter(view -> view.isEligible(nowNs)).toList();
    return trusted.isEmpty() ? allowing : trusted;
  }

  /** Returns those that a request may be sent to now, as one that may go elsewhere or not. */
  private static List<UpstreamState> allowing(
      ActiveRequest tracked, Collection<UpstreamState> views, boolean mayGoElsewhere, long nowNs) {
    return views.stream()
        .filter(view -> isUntried(tracked, view))
        .filter(view -> view.backpressure().canSend(mayGoElsewhere, nowNs))
        .toList();
  }

  /** Returns when the first of the upstreams that a request may go to takes requests at all. */
  static long availableFromNs(ActiveRequest tracked, Collection<UpstreamState> views, long nowNs) {
    return availableFromNs(untried(tracked, views), nowNs);
  }

  /** Returns when the first of some upstreams takes requests at all: now, or after its backoff. */
  static long availableFromNs(Collection<UpstreamState> views, long nowNs) {
    return views.stream()
        .filter(view -> !view.backpressure().isLeaving())
        .mapToLong(view -> view.backpressure().backoffEndNs())
        .map(untilNs -> Math.max(nowNs, untilNs))
        .min()
        .orElse(nowNs);
  }

  private static List<UpstreamState> untried(
      ActiveRequest tracked, Collection<UpstreamState> views) {
    return views.stream().filter(view -> isUntried(tracked, view)).toList();
  }

  /** Tells whether an upstream takes requests, as far as is known, and has not had this one. */
  private static boolean isUntried(ActiveRequest tracked, UpstreamState view) {
    return view.registration().phase() == RegistrationPhase.READY
        && !view.isMisdirected()
        && !view.backpressure().isLeaving()
        && !tracked.hasTried(view.registration().id());
  }

  private static Optional<String> lastPart(ActiveRequest tracked) {
    List<PromptPart> prompt = tracked.request().prompt();
    return prompt.isEmpty() ? Optional.empty() : Optional.of(prompt.get(prompt.size() - 1).id());
  }

  private static double affinity(ActiveRequest tracked) {
    int tokens = tracked.request().promptTokens().orElse(0);
    return Math.min(MAX_AFFINITY, tokens / FULL_AFFINITY_TOKENS);
  }

  /**
   * Returns the upstream where a prompt's parts are looked for first. All VMs find the same without
   * speaking (rendezvous hashing, Thaler and Ravishankar, 1998), and little moves when an upstream
   * comes or goes.
   */
  private static Optional<String> homeOf(String part, List<UpstreamState> usable) {
    String home = null;
    long greatest = Long.MIN_VALUE;
    for (UpstreamState view : usable) {
      String id = view.registration().id().value();
      long weight = mix(part.hashCode() * 31L + id.hashCode());
      if (weight > greatest) {
        greatest = weight;
        home = id;
      }
    }
    return Optional.ofNullable(home);
  }

  /** Spreads a number over all its bits (the finalizer of SplitMix64, Steele et al., 2014). */
  private static long mix(long number) {
    long mixed = (number ^ (number >>> 30)) * 0xbf58476d1ce4e5b9L;
    mixed = (mixed ^ (mixed >>> 27)) * 0x94d049bb133111ebL;
    return mixed ^ (mixed >>> 31);
  }
}
