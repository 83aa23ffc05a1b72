package org.teaseltrail.core.forward;

import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.OptionalLong;
import java.util.function.LongConsumer;
import org.teaseltrail.core.stream.StreamOrigin;

/**
 * Streams that callers take up at a VM that holds no upstream of their version, and that may have
 * missed its registration: the VM was suspended or out of reach of the leader. They wait for news
 * for a short time; at a VM with recent registrations nothing is waited for.
 */
final class RegistryNewsQueue {

  private static final long NS_PER_MS = 1_000_000L;

  /** Maximum wait for news, as long as for the answer to which version began a stream. */
  private static final long MAX_WAIT_NS = 300 * NS_PER_MS;

  /** Bounds the memory of requests that wait. */
  private static final int MAX_WAITING = 500;

  private record Waiting(StreamOrigin origin, LongConsumer continuation, long expiryNs) {}

  private final ControlClient controlClient;
  private final UpstreamTracker upstreams;
  private final Map<Long, Waiting> waiting = new LinkedHashMap<>();

  RegistryNewsQueue(ControlClient controlClient, UpstreamTracker upstreams) {
    this.controlClient = controlClient;
    this.upstreams = upstreams;
  }

  /** Lets a stream wait if news may bring an upstream for it; returns whether it waits. */
  boolean tryAdd(long number, StreamOrigin origin, LongConsumer continuation, long nowNs) {
    if (isSettled(origin, nowNs) || waiting.size() >= MAX_WAITING) {
      return false;
    }
    waiting.put(number, new Waiting(origin, continuation, nowNs + MAX_WAIT_NS));
    controlClient.syncSoon();
    return true;
  }

  /** Continues with the streams for which there is an upstream, or whose wait has ended. */
  void releaseSettled(long nowNs) {
    List<Long> released = new ArrayList<>();
    waiting.forEach(
        (number, stream) -> {
          if (nowNs >= stream.expiryNs() || isSettled(stream.origin(), nowNs)) {
            released.add(number);
          }
        });
    released.forEach(number -> waiting.remove(number).continuation().accept(nowNs));
  }

  private boolean isSettled(StreamOrigin origin, long nowNs) {
    return controlClient.hasRecentRegistry(upstreams.revision(), nowNs) || isRegistered(origin);
  }

  private boolean isRegistered(StreamOrigin origin) {
    return upstreams.of(origin.service()).stream()
        .map(UpstreamState::registration)
        .anyMatch(origin::matches);
  }

  OptionalLong nextDueNs() {
    return waiting.values().stream().mapToLong(Waiting::expiryNs).min();
  }

  /** Removes and returns all streams that wait, in the order in which they came. */
  List<Long> takeAll() {
    List<Long> all = List.copyOf(waiting.keySet());
    waiting.clear();
    return all;
  }

  void onCallerDisconnected(long number) {
    waiting.remove(number);
  }

  int waiting() {
    return waiting.size();
  }
}
