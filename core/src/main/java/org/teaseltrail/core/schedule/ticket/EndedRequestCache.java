package org.teaseltrail.core.schedule.ticket;

import java.util.Iterator;
import java.util.LinkedHashMap;
import java.util.Map;
import java.util.Optional;
import org.teaseltrail.core.id.RequestId;
import org.teaseltrail.core.message.ControlMessage;

/**
 * Caches for a limited time which requests have ended or were refused. A late or repeated offer of
 * such a request is recognized; otherwise the request would run a second time after its answer was
 * delivered. The retention time exceeds the delay of any message between a VM and the scheduler.
 */
final class EndedRequestCache {

  private final Map<RequestId, Ending> endings = new LinkedHashMap<>();
  private final long retentionNs;

  /** Creates an empty cache with a retention time in nanoseconds. */
  EndedRequestCache(long retentionNs) {
    this.retentionNs = retentionNs;
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
