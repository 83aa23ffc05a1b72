package org.teaseltrail.core.stream;

import java.util.Iterator;
import java.util.LinkedHashMap;
import java.util.Map;
import java.util.Optional;

/**
 * Origins of the streams that callers may take up, as the entry VMs tell a control member. They are
 * held in memory only: each member is told, and VMs tell the members of a new leader again.
 */
public final class StreamOriginRegistry {

  private static final long NS_PER_MS = 1_000_000L;

  /** Bounds the memory to some 30 MB. */
  private static final int MAX_STREAMS = 200_000;

  /** Origin of a stream; empty if the stream was named with different ones. */
  private record Entry(Optional<StreamOrigin> origin, long expiryNs) {}

  private final Map<StreamKey, Entry> streams = new LinkedHashMap<>();

  /**
   * Records a stream. One that is recorded with another origin has none from then on: which one its
   * caller means is unknown.
   *
   * @param stream the stream
   * @param nowNs current time, in nanoseconds
   */
  public void record(BegunStream stream, long nowNs) {
    removeExpired(nowNs);
    Entry before = streams.remove(stream.key());
    Optional<StreamOrigin> origin = Optional.of(stream.origin());
    boolean isSame = before == null || before.origin().equals(origin);
    streams.put(
        stream.key(),
        new Entry(isSame ? origin : Optional.empty(), nowNs + stream.retentionMs() * NS_PER_MS));
    if (streams.size() > MAX_STREAMS) {
      streams.remove(streams.keySet().iterator().next());
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

  /** Drops the oldest streams that have expired; few expire out of order. */
  private void removeExpired(long nowNs) {
    Iterator<Entry> oldestFirst = streams.values().iterator();
    while (oldestFirst.hasNext() && nowNs >= oldestFirst.next().expiryNs()) {
      oldestFirst.remove();
    }
  }
}
