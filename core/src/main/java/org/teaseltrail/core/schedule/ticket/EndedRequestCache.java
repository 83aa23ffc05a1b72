package org.teaseltrail.core.schedule.ticket;

import java.util.Iterator;
import java.util.LinkedHashMap;
import java.util.Map;
import java.util.Optional;
import org.teaseltrail.core.id.RequestId;
import org.teaseltrail.core.message.ControlMessage;

/**
 * Remembers for a while which requests have ended or were given up. Guards against a late or
 * repeated offer: it would show as a second run of a request whose answer has been delivered. The
 * memory outlasts any message still on its way between a VM and the scheduler.
 */
final class EndedRequestCache {

  private final Map<RequestId, Ending> endings = new LinkedHashMap<>();
  private final long retentionNs;

  /** Creates the memory; what is older than the time given in nanoseconds is forgotten. */
  EndedRequestCache(long keepNs) {
    this.retentionNs = keepNs;
  }

  void add(RequestId request, Optional<ControlMessage.Refused> refusal, long nowNs) {
    endings.putIfAbsent(request, new Ending(nowNs, refusal));
  }

  boolean contains(RequestId request) {
    return endings.containsKey(request);
  }

  Optional<ControlMessage.Refused> refusal(RequestId request) {
    Ending ending = endings.get(request);
    return ending == null ? Optional.empty() : ending.refusal();
  }

  void expire(long nowNs) {
    Iterator<Ending> oldest = endings.values().iterator();
    while (oldest.hasNext() && oldest.next().endedNs() + retentionNs < nowNs) {
      oldest.remove();
    }
  }

  private record Ending(long endedNs, Optional<ControlMessage.Refused> refusal) {}
}
