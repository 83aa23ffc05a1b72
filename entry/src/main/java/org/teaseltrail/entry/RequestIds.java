package org.teaseltrail.entry;

import java.util.concurrent.atomic.AtomicLong;
import org.teaseltrail.core.id.Incarnation;
import org.teaseltrail.core.id.RequestId;
import org.teaseltrail.core.id.VmId;

/** Makes ids that are unique over all VMs and their restarts: VM, life and count. */
final class RequestIds {

  private final String prefix;
  private final AtomicLong count = new AtomicLong();

  RequestIds(VmId vm, Incarnation incarnation) {
    prefix = vm + "-" + Long.toString(incarnation.value(), Character.MAX_RADIX) + "-";
  }

  RequestId next() {
    return new RequestId(prefix + Long.toString(count.incrementAndGet(), Character.MAX_RADIX));
  }
}
