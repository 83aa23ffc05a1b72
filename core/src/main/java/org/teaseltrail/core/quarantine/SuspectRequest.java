package org.teaseltrail.core.quarantine;

import java.util.HashMap;
import java.util.Map;
import java.util.Optional;
import org.teaseltrail.core.id.CustomerId;
import org.teaseltrail.core.registry.UpstreamIncarnation;

/** Is a request under which upstreams were lost. */
final class SuspectRequest {

  /** Time within which two reports of a loss are one, told twice with some delay. */
  private static final long SAME_LOSS_NS = 500_000_000L;

  /**
   * Time within which losses of several upstreams are one: a link or a data centre that fails takes
   * many at the same moment, a request one after the other.
   */
  private static final long SAME_MOMENT_NS = 20_000_000L;

  private record Mark(long atNs, boolean excused) {}

  private final Fingerprint request;
  private final Optional<CustomerId> customer;
  private final Map<UpstreamIncarnation, Mark> marks = new HashMap<>();
  private long newestNs;

  SuspectRequest(Fingerprint request, Optional<CustomerId> customer) {
    this.request = request;
    this.customer = customer;
  }

  Fingerprint request() {
    return request;
  }

  Optional<CustomerId> customer() {
    return customer;
  }

  /** Returns the time of the newest loss. */
  long newestNs() {
    return newestNs;
  }

  void recordLoss(UpstreamIncarnation upstream, long atNs) {
    newestNs = Math.max(newestNs, atNs);
    Mark before = marks.get(upstream);
    if (before == null || atNs - before.atNs() > SAME_LOSS_NS) {
      marks.put(upstream, new Mark(atNs, false));
    }
  }

  /** Excuses the loss of an upstream that was seen alive at a time after it. */
  void alive(UpstreamIncarnation upstream, long lostBeforeNs) {
    marks.computeIfPresent(
        upstream,
        (life, mark) -> new Mark(mark.atNs(), mark.excused() || mark.atNs() < lostBeforeNs));
  }

  /** Excuses all losses so far: the request was seen to harm nobody. */
  void excuseAll() {
    marks.replaceAll((life, mark) -> new Mark(mark.atNs(), true));
  }

  /** Returns how often upstreams were lost under it. */
  int losses() {
    int losses = 0;
    long momentNs = Long.MIN_VALUE;
    for (long atNs : counted().values().stream().sorted().toList()) {
      boolean first = losses == 0;
      if (first || atNs - momentNs > SAME_MOMENT_NS) {
        losses++;
        momentNs = atNs;
      }
    }
    return losses;
  }

  /** Returns the losses that count, with their times. */
  Map<UpstreamIncarnation, Long> counted() {
    Map<UpstreamIncarnation, Long> counted = new HashMap<>();
    marks.forEach(
        (life, mark) -> {
          if (!mark.excused()) {
            counted.put(life, mark.atNs());
          }
        });
    return counted;
  }

  /** Returns the upstreams whose losses are remembered. */
  Iterable<UpstreamIncarnation> upstreams() {
    return marks.keySet();
  }
}
