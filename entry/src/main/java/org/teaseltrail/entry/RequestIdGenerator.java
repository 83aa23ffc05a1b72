package org.teaseltrail.entry;

import java.util.concurrent.atomic.AtomicLong;
import org.teaseltrail.core.id.Incarnation;
import org.teaseltrail.core.id.RequestId;
import org.teaseltrail.core.id.VmId;

/**
 * Generates request ids that are unique across all VMs and their restarts, from the VM, its
 * incarnation and a counter.
 */
final class RequestIdGenerator {

  private final String prefix;
  private final AtomicLong counter = new AtomicLong();

  RequestIdGenerator(VmId vm, Incarnation incarnation) {
    prefix = vm + "-" + Long.toString(incarnation.value(), Character.MAX_RADIX) + "-";
  }

  RequestId next() {
    return new RequestId(prefix + Long.toString(counter.incrementAndGet(), Character.MAX_RADIX));
  }
}
