package org.teaseltrail.core.state;

import java.util.Iterator;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import org.teaseltrail.core.id.ChangeId;

/**
 * Keeps the results of recent changes, oldest first, so that a retried change receives its first
 * result. It is part of the replicated state, so a retry finds the result also on a new leader and
 * after a snapshot.
 */
final class ChangeResultStore {

  /**
   * Sized for 5,100 changes a day, the load expected in two years; retries arrive within minutes.
   */
  static final int MAX_RESULTS = 6_000;

  /** Retention of results: two days of log time. */
  static final long RETENTION_MS = 48L * 3_600_000;

  private final Map<ChangeId, ChangeRecord> records = new LinkedHashMap<>();

  ChangeResultStore(List<ChangeRecord> kept) {
    kept.forEach(one -> records.put(one.change(), one));
  }

  Optional<ChangeRecord> find(ChangeId change) {
    return Optional.ofNullable(records.get(change));
  }

  void add(ChangeRecord added) {
    records.put(added.change(), added);
    Iterator<ChangeRecord> oldest = records.values().iterator();
    while (oldest.hasNext() && mustDrop(oldest.next(), added.logTimeMs())) {
      oldest.remove();
    }
  }

  List<ChangeRecord> toList() {
    return List.copyOf(records.values());
  }

  private boolean mustDrop(ChangeRecord kept, long nowMs) {
    return records.size() > MAX_RESULTS || nowMs - kept.logTimeMs() >= RETENTION_MS;
  }
}
