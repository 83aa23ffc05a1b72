package org.teaseltrail.load.policy;

import java.util.SortedMap;
import java.util.TreeMap;
import org.HdrHistogram.Histogram;
import org.teaseltrail.core.id.Tier;
import org.teaseltrail.core.id.UpstreamId;
import org.teaseltrail.load.measure.OutcomeCounter;
import org.teaseltrail.load.measure.RequestOutcome;
import org.teaseltrail.load.workload.Deployment;
import org.teaseltrail.load.workload.KindSpec;

/** Collects the metrics of one run. */
final class RunMetrics {

  private static final int HISTOGRAM_DIGITS = 3;
  private static final double NS_PER_US = 1_000;

  private final SortedMap<Tier, OutcomeCounter> tiers = new TreeMap<>();
  private final SortedMap<String, OutcomeCounter> kinds = new TreeMap<>();
  private final SortedMap<Tier, Histogram> firstToken = new TreeMap<>();
  private final SortedMap<Tier, Histogram> interToken = new TreeMap<>();
  private final PrefillWasteTracker prefill;
  private long decisions;

  RunMetrics(Deployment deployment) {
    for (Tier tier : deployment.tiers()) {
      tiers.put(tier, new OutcomeCounter());
      firstToken.put(tier, new Histogram(HISTOGRAM_DIGITS));
      interToken.put(tier, new Histogram(HISTOGRAM_DIGITS));
    }
    for (KindSpec kind : deployment.kinds()) {
      kinds.put(kind.name(), new OutcomeCounter());
    }
    prefill = new PrefillWasteTracker(deployment.engines());
  }

  void offered(TrackedRequest request) {
    if (request.counted()) {
      tiers.get(request.planned().tier()).offered();
      kinds.get(request.planned().kind().name()).offered();
    }
  }

  void prefilled(TrackedRequest request, UpstreamId engine, int cachedTokens, int processedTokens) {
    PrefillWasteTracker.PrefillCost done =
        prefill.onProcessed(
            engine, request.blocks(), cachedTokens, processedTokens, request.counted());
    request.prefilled(done);
    // The outcome can be known before the prefill is reported: a caller disconnects, and only
    // later the engine receives the cancellation and reports what it has processed.
    request.outcome().ifPresent(outcome -> prefill.onRequestEnded(done, outcome));
  }

  void crashed(UpstreamId engine) {
    prefill.onEngineCrashed(engine);
  }

  /** Records tokens that reach the caller at the given time. */
  void tokens(TrackedRequest request, int count, long nowNs) {
    if (request.counted()) {
      boolean first = request.tokens() == 0;
      long sinceNs = first ? request.planned().atNs() : request.lastTokenNs();
      SortedMap<Tier, Histogram> histograms = first ? firstToken : interToken;
      Histogram histogram = histograms.get(request.planned().tier());
      histogram.recordValue((long) ((nowNs - sinceNs) / NS_PER_US));
    }
    request.onTokensReceived(count, nowNs);
  }

  void ended(TrackedRequest request, RequestOutcome outcome) {
    request.end(outcome);
    request.prefill().ifPresent(p -> prefill.onRequestEnded(p, outcome));
    if (request.counted()) {
      tiers.get(request.planned().tier()).ended(outcome);
      kinds.get(request.planned().kind().name()).ended(outcome);
    }
  }

  void decision() {
    decisions++;
  }

  RunResult result(String policy, long seed) {
    return new RunResult(
        policy, seed, tiers, kinds, prefill.prefillTotals(), firstToken, interToken, decisions);
  }
}
