package org.teaseltrail.core.schedule.ticket;

import java.util.Iterator;
import java.util.LinkedHashMap;
import java.util.Map;
import org.teaseltrail.core.id.RequestId;

/**
 * Remembers for a while which requests have ended or were given up. Guards against a late or
 * repeated offer: it would show as a second run of a request whose answer has been delivered. The
 * memory outlasts any message still on its way between a VM and the scheduler.
 */
public final class EndedMemory {

  private final Map<RequestId, Long> endedNs = new LinkedHashMap<>();
  private final long keepNs;

  /** Creates the memory; what is older than the time given in nanoseconds is forgotten. */
  public EndedMemory(long keepNs) {
    this.keepNs = keepNs;
  }

  /** Remembers that a request has ended. */
  public void add(RequestId request, long nowNs) {
    endedNs.putIfAbsent(request, nowNs);
  }

  /** Returns whether a request is remembered as ended. */
  public boolean contains(RequestId request) {
    return endedNs.containsKey(request);
  }

  /** Forgets what is old enough. */
  public void expire(long nowNs) {
    Iterator<Long> oldest = endedNs.values().iterator();
    while (oldest.hasNext() && oldest.next() + keepNs < nowNs) {
      oldest.remove();
    }
  }
}
