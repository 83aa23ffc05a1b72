package org.teaseltrail.core.schedule;

import java.util.HashSet;
import java.util.Set;
import org.teaseltrail.core.id.VmId;

/**
 * Knows whether a new scheduler has heard of all that waits. Guards against shedding by half a
 * picture: a high tier's request would be shed while a lower tier's, not yet reported, is kept on
 * another VM. A VM counts as heard once it says so, or once its session has lapsed.
 */
final class ReportGate {

  private final Set<VmId> awaited = new HashSet<>();

  void await(Set<VmId> vms) {
    awaited.addAll(vms);
  }

  void heard(VmId vm) {
    awaited.remove(vm);
  }

  boolean isOpen() {
    return awaited.isEmpty();
  }
}
