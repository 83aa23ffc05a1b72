package org.teaseltrail.core.quarantine;

import java.util.Comparator;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.OptionalLong;
import java.util.function.Predicate;
import org.teaseltrail.core.id.CustomerId;
import org.teaseltrail.core.registry.UpstreamIncarnation;

/** Request, or part of prompts, during whose processing upstreams were lost, with these losses. */
final class SuspectRequest {

  private static final long NS_PER_MS = 1_000_000L;

  /**
   * Interval in which further reports of a loss of the same upstream are taken for duplicates, as
   * the same loss may be reported twice with some delay.
   */
  private static final long DUPLICATE_INTERVAL_NS = 500_000_000L;

  /**
   * Interval in which losses of several upstreams count as one loss. A failing network link or data
   * centre takes many upstreams down at the same moment, whereas a request crashes them one after
   * the other.
   */
  private static final long SIMULTANEOUS_INTERVAL_NS = 20_000_000L;

  private record LossRecord(long atNs, boolean excused, int count) {}

  private final Fingerprint request;
  private final Optional<CustomerId> customer;
  private final Map<UpstreamIncarnation, LossRecord> records = new HashMap<>();
  private final RepeatedLoss repeatedLoss;
  private final boolean part;
  private long newestNs;
  private long servedNs = Long.MIN_VALUE;

  SuspectRequest(
      Fingerprint request, Optional<CustomerId> customer, boolean part, RepeatedLoss repeatedLoss) {
    this.part = part;
    this.repeatedLoss = repeatedLoss;
    this.request = request;
    this.customer = customer;
  }

  Fingerprint request() {
    return request;
  }

  Optional<CustomerId> customer() {
    return customer;
  }

  /** Returns whether it is a part of prompts. */
  boolean isPart() {
    return part;
  }

  /** Returns whether it is known to have been answered completely. */
  boolean hasBeenServed() {
    return servedNs != Long.MIN_VALUE;
  }

  /** Records a complete answer, which excuses earlier losses. */
  void recordServed(long atNs) {
    servedNs = Math.max(servedNs, atNs);
    records.replaceAll(
        (key, loss) ->
            new LossRecord(loss.atNs(), loss.excused() || loss.atNs() <= atNs, loss.count()));
  }

  /** Returns what is known of a part, empty for a request. */
  Optional<PartEvidence> evidence(long nowNs) {
    if (!part) {
      return Optional.empty();
    }
    OptionalLong servedAgoMs =
        hasBeenServed()
            ? OptionalLong.of(Math.max(0, (nowNs - servedNs) / NS_PER_MS))
            : OptionalLong.empty();
    return Optional.of(new PartEvidence(servedAgoMs));
  }

  /** Returns the time of the latest loss. */
  long newestNs() {
    return newestNs;
  }

  void recordLoss(UpstreamIncarnation upstream, long atNs) {
    newestNs = Math.max(newestNs, atNs);
    LossRecord before = records.get(upstream);
    if (before == null || atNs - before.atNs() > DUPLICATE_INTERVAL_NS) {
      boolean isFirst = before == null || before.excused();
      int count = isFirst ? 1 : repeatedLoss.countAfter(before.count());
      records.put(upstream, new LossRecord(atNs, false, count));
    }
  }

  /** Excuses the loss of an upstream if it is before the given time. */
  void alive(UpstreamIncarnation upstream, long lostBeforeNs) {
    records.computeIfPresent(
        upstream,
        (key, loss) ->
            new LossRecord(
                loss.atNs(), loss.excused() || loss.atNs() < lostBeforeNs, loss.count()));
  }

  /** Excuses all losses so far, since the request was processed without harm. */
  void excuseAll() {
    recordServed(newestNs);
  }

  /** Returns the number of losses that are not excused, simultaneous ones counted once. */
  int losses() {
    return lossesAt(upstream -> true);
  }

  /** Returns the number of losses of some of the upstreams. */
  int lossesAt(Predicate<UpstreamIncarnation> upstreams) {
    int losses = 0;
    long lastCountedNs = Long.MIN_VALUE;
    List<LossRecord> inOrder =
        records.entrySet().stream()
            .filter(entry -> !entry.getValue().excused() && upstreams.test(entry.getKey()))
            .map(Map.Entry::getValue)
            .sorted(Comparator.comparingLong(LossRecord::atNs))
            .toList();
    for (LossRecord loss : inOrder) {
      boolean isSimultaneous =
          losses > 0 && loss.atNs() - lastCountedNs <= SIMULTANEOUS_INTERVAL_NS;
      if (!isSimultaneous) {
        losses += loss.count();
        lastCountedNs = loss.atNs();
      }
    }
    return losses;
  }

  /** Returns the times of the losses that are not excused, by upstream. */
  Map<UpstreamIncarnation, Long> counted() {
    Map<UpstreamIncarnation, Long> counted = new HashMap<>();
    records.forEach(
        (upstream, loss) -> {
          if (!loss.excused()) {
            counted.put(upstream, loss.atNs());
          }
        });
    return counted;
  }

  /** Returns whether a loss of an upstream is recorded and not excused. */
  boolean isLost(UpstreamIncarnation upstream) {
    LossRecord loss = records.get(upstream);
    return loss != null && !loss.excused();
  }

  /** Returns all upstreams with a recorded loss, excused or not. */
  Iterable<UpstreamIncarnation> upstreams() {
    return records.keySet();
  }
}
