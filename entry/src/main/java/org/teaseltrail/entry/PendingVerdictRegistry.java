package org.teaseltrail.entry;

import java.util.Map;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.atomic.AtomicLong;
import java.util.function.LongFunction;
import org.teaseltrail.core.entry.EntryEvent;
import org.teaseltrail.core.entry.UpstreamVerdict;
import reactor.core.publisher.Mono;
import reactor.core.publisher.Sinks;

/** Correlates upstreams' announcements and cache events with the node's verdicts. */
final class PendingVerdictRegistry {

  private final NodeEventLoop loop;
  private final AtomicLong lastExchange = new AtomicLong();
  private final Map<Long, Sinks.One<UpstreamVerdict>> waiting = new ConcurrentHashMap<>();

  PendingVerdictRegistry(NodeEventLoop loop) {
    this.loop = loop;
  }

  /** Submits an event that carries an exchange number, and returns the node's verdict on it. */
  Mono<UpstreamVerdict> submit(LongFunction<EntryEvent> event) {
    long number = lastExchange.incrementAndGet();
    Sinks.One<UpstreamVerdict> verdictSink = Sinks.one();
    waiting.put(number, verdictSink);
    loop.submit(event.apply(number));
    return verdictSink.asMono().doFinally(end -> waiting.remove(number));
  }

  void complete(long number, UpstreamVerdict verdict) {
    Sinks.One<UpstreamVerdict> verdictSink = waiting.get(number);
    if (verdictSink != null) {
      verdictSink.tryEmitValue(verdict);
    }
  }
}
