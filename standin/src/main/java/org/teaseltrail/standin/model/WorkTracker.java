package org.teaseltrail.standin.model;

import java.util.EnumMap;
import java.util.LinkedHashMap;
import java.util.Map;
import org.teaseltrail.core.id.RequestId;

/** Tracks an engine's work, in total and by request. */
final class WorkTracker {

  /** Maximum number of requests tracked individually; older ones count only in the totals. */
  private static final int MAX_TRACKED_REQUESTS = 200_000;

  private final Map<RequestId, RequestWork> byRequest = new LinkedHashMap<>();
  private final Map<WorkState, Long> endedRequests = new EnumMap<>(WorkState.class);
  private long submitted;
  private long duplicates;
  private long prefillTokens;
  private long discardedPrefillTokens;
  private long cachedTokens;
  private long outputTokens;
  private long steps;

  void submitted(RequestId request) {
    submitted++;
    byRequest.put(request, work(request).submitted());
    if (byRequest.size() > MAX_TRACKED_REQUESTS) {
      byRequest.remove(byRequest.keySet().iterator().next());
    }
  }

  void refused(EngineRefusal reason) {
    endedRequests.merge(WorkState.REFUSED, 1L, Long::sum);
    if (reason == EngineRefusal.DUPLICATE_REQUEST) {
      duplicates++;
    }
  }

  void started(RequestId request) {
    byRequest.put(request, work(request).started());
  }

  void ended(Sequence sequence, WorkState end) {
    RequestId request = sequence.request().id();
    byRequest.put(request, work(request).ended(sequence, end));
    endedRequests.merge(end, 1L, Long::sum);
    prefillTokens += sequence.processedTokens();
    cachedTokens += sequence.cachedTokens();
    outputTokens += sequence.outputTokens();
    if (end != WorkState.COMPLETED) {
      discardedPrefillTokens += sequence.processedTokens();
    }
  }

  void stepped() {
    steps++;
  }

  Map<RequestId, RequestWork> byRequest() {
    return Map.copyOf(byRequest);
  }

  EngineCounters counters() {
    return new EngineCounters(
        submitted,
        count(WorkState.REFUSED),
        duplicates,
        count(WorkState.COMPLETED),
        count(WorkState.CANCELLED),
        count(WorkState.BROKEN),
        prefillTokens,
        discardedPrefillTokens,
        cachedTokens,
        outputTokens,
        steps);
  }

  private RequestWork work(RequestId request) {
    return byRequest.getOrDefault(request, RequestWork.NONE);
  }

  private long count(WorkState end) {
    return endedRequests.getOrDefault(end, 0L);
  }
}
