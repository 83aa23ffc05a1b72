package org.teaseltrail.standin.model;

import java.util.ArrayDeque;
import java.util.Deque;
import java.util.HashMap;
import java.util.Map;
import java.util.Optional;
import org.teaseltrail.core.id.RequestId;

/** Holds the active streams, and the ended ones until their retention time is over. */
final class StreamStore {

  private static final long NS_PER_MS = 1_000_000;

  private final long retentionNs;
  private final int tokensPerFrame;
  private final Map<RequestId, EngineStream> streams = new HashMap<>();
  private final Deque<Expiry> expiries = new ArrayDeque<>();

  StreamStore(long retentionMs, int tokensPerFrame) {
    this.retentionNs = retentionMs * NS_PER_MS;
    this.tokensPerFrame = tokensPerFrame;
  }

  void open(EngineRequest request) {
    streams.put(request.id(), new EngineStream(request, tokensPerFrame));
  }

  Optional<EngineStream> find(RequestId request) {
    return Optional.ofNullable(streams.get(request));
  }

  /** Starts the retention time of a stream that has ended. */
  void retain(RequestId request, long nowNs) {
    expiries.add(new Expiry(request, nowNs + retentionNs));
  }

  void expire(long nowNs) {
    while (!expiries.isEmpty() && expiries.peek().atNs() <= nowNs) {
      streams.remove(expiries.remove().request());
    }
  }

  int size() {
    return streams.size();
  }

  void clear() {
    streams.clear();
    expiries.clear();
  }

  private record Expiry(RequestId request, long atNs) {}
}
