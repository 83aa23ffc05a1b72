package org.teaseltrail.load.http;

import java.util.HashMap;
import java.util.List;
import java.util.Locale;
import java.util.Map;
import reactor.netty.http.client.HttpClient;

/**
 * Execution and token counters read from the stand-ins (simulated upstreams). They show what
 * actually ran, independent of the responses that passed through the system.
 */
final class StandinCounters {

  private static final String PATH = "/admin/counters";

  private final Map<String, Integer> executions = new HashMap<>();
  private long prefillTokens;
  private long discardedPrefillTokens;
  private long cachedTokens;

  /** Reads the counters of the stand-ins with the given base URLs. */
  static StandinCounters read(List<String> urls) {
    StandinCounters counters = new StandinCounters();
    for (String url : urls) {
      String json =
          HttpClient.create()
              .get()
              .uri(url + PATH)
              .responseContent()
              .aggregate()
              .asString()
              .block();
      counters.add(CallerJson.read(json, Counters.class));
    }
    return counters;
  }

  /** Returns how often a request ran on all stand-ins together. */
  int executions(String requestId) {
    return executions.getOrDefault(requestId, 0);
  }

  /** Returns a one-line summary of the engines' token counters since their start. */
  String summary() {
    double discarded = prefillTokens == 0 ? 0 : 100.0 * discardedPrefillTokens / prefillTokens;
    return String.format(
        Locale.ROOT,
        "engines: %d prompt tokens processed, %d of them discarded (%.2f %%), %d saved by caches",
        prefillTokens,
        discardedPrefillTokens,
        discarded,
        cachedTokens);
  }

  private void add(Counters counters) {
    if (counters.totals() != null) {
      addTotals(counters.totals());
    }
    counters.requestsOrNone().forEach((id, work) -> addExecutions(id, work.executions()));
    counters.executionsOrNone().forEach(this::addExecutions);
  }

  private void addTotals(Totals totals) {
    prefillTokens += totals.prefillTokens();
    discardedPrefillTokens += totals.discardedPrefillTokens();
    cachedTokens += totals.cachedTokens();
  }

  private void addExecutions(String requestId, int count) {
    executions.merge(requestId, count, Integer::sum);
  }

  /**
   * Counters of one stand-in: engines report totals and requests, plain services report executions;
   * the other components are null.
   */
  private record Counters(
      Totals totals, Map<String, Work> requests, Map<String, Integer> executions) {

    Map<String, Work> requestsOrNone() {
      return requests == null ? Map.of() : requests;
    }

    Map<String, Integer> executionsOrNone() {
      return executions == null ? Map.of() : executions;
    }
  }

  private record Totals(long prefillTokens, long discardedPrefillTokens, long cachedTokens) {}

  private record Work(int executions) {}
}
