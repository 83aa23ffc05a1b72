package org.teaseltrail.entry;

import java.util.Map;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.atomic.AtomicLong;
import java.util.function.LongFunction;
import org.teaseltrail.core.entry.EntryEvent;
import org.teaseltrail.core.entry.UpstreamVerdict;
import reactor.core.publisher.Mono;
import reactor.core.publisher.Sinks;

/** Matches upstreams' announcements and cache events with the node's answers. */
final class UpstreamAnswers {

  private final NodeLoop loop;
  private final AtomicLong exchange = new AtomicLong();
  private final Map<Long, Sinks.One<UpstreamVerdict>> waiting = new ConcurrentHashMap<>();

  UpstreamAnswers(NodeLoop loop) {
    this.loop = loop;
  }

  /** Passes an event that carries an exchange's number, and returns the node's answer. */
  Mono<UpstreamVerdict> ask(LongFunction<EntryEvent> event) {
    long number = exchange.incrementAndGet();
    Sinks.One<UpstreamVerdict> answer = Sinks.one();
    waiting.put(number, answer);
    loop.submit(event.apply(number));
    return answer.asMono().doFinally(end -> waiting.remove(number));
  }

  void answer(long number, UpstreamVerdict verdict) {
    Sinks.One<UpstreamVerdict> answer = waiting.get(number);
    if (answer != null) {
      answer.tryEmitValue(verdict);
    }
  }
}
