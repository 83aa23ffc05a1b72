package org.teaseltrail.core.stream;

import java.util.Iterator;
import java.util.LinkedHashMap;
import java.util.Map;
import java.util.Optional;
import org.teaseltrail.core.id.CustomerId;

/**
 * Origins of the streams that callers may take up, as the entry VMs tell a control member. They are
 * held in memory only: each member is told, and told again when a connection to it opens. The
 * memory is bounded; the streams that were told first are forgotten first.
 */
public final class StreamOriginRegistry {

  private static final long NS_PER_MS = 1_000_000L;

  /** A quarter of the heap of a control member. */
  private static final long MAX_BYTES = 32_000_000;

  /** Memory of a stream besides the characters of its attempt's id; the rest is shared. */
  private static final int STREAM_BYTES = 200;

  /** Origin of a stream; empty if the stream was named with different ones. */
  private record Entry(Optional<StreamOrigin> origin, long expiryNs) {}

  private final Map<StreamKey, Entry> streams = new LinkedHashMap<>();
  private final SharedInstances<Optional<CustomerId>> customers = new SharedInstances<>();
  private final SharedInstances<Optional<StreamOrigin>> origins = new SharedInstances<>();
  private long sizeBytes;

  /**
   * Records a stream. One that is recorded with another origin has none from then on: which one its
   * caller means is unknown.
   *
   * @param stream the stream
   * @param nowNs current time, in nanoseconds
   */
  public void record(BegunStream stream, long nowNs) {
    removeExpired(nowNs);
    StreamKey key = new StreamKey(customers.share(stream.key().customer()), stream.key().attempt());
    Entry before = streams.remove(key);
    sizeBytes += before == null ? sizeBytes(key) : 0;
    Optional<StreamOrigin> origin = origins.share(Optional.of(stream.origin()));
    boolean isSame = before == null || before.origin().equals(origin);
    long expiryNs = nowNs + stream.retentionMs() * NS_PER_MS;
    streams.put(key, new Entry(isSame ? origin : Optional.empty(), expiryNs));
    while (sizeBytes > MAX_BYTES) {
      removeOldest();
    }
  }

  /**
   * Returns the origin of a stream.
   *
   * @param key the stream
   * @param nowNs current time, in nanoseconds
   * @return the origin, empty if it is unknown or no longer kept
   */
  public Optional<StreamOrigin> find(StreamKey key, long nowNs) {
    return Optional.ofNullable(streams.get(key))
        .filter(entry -> nowNs < entry.expiryNs())
        .flatMap(Entry::origin);
  }

  /** Returns the number of streams that are held, of which some may have expired. */
  int size() {
    return streams.size();
  }

  /** Drops the oldest streams that have expired; few expire out of order. */
  private void removeExpired(long nowNs) {
    while (!streams.isEmpty() && nowNs >= streams.values().iterator().next().expiryNs()) {
      removeOldest();
    }
  }

  private void removeOldest() {
    Iterator<StreamKey> oldestFirst = streams.keySet().iterator();
    sizeBytes -= sizeBytes(oldestFirst.next());
    oldestFirst.remove();
  }

  private static long sizeBytes(StreamKey key) {
    return STREAM_BYTES + key.attempt().length();
  }
}
