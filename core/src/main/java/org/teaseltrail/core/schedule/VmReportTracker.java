package org.teaseltrail.core.schedule;

import java.util.HashSet;
import java.util.Set;
import org.teaseltrail.core.id.VmId;

/**
 * Knows whether a new scheduler has heard of all that waits. Guards against shedding by half a
 * picture: a high tier's request would be shed while a lower tier's, not yet reported, is kept on
 * another VM. A VM counts as heard once it says so, or once its session has lapsed.
 */
final class VmReportTracker {

  private final Set<VmId> pending = new HashSet<>();

  void expectReports(Set<VmId> vms) {
    pending.addAll(vms);
  }

  void heard(VmId vm) {
    pending.remove(vm);
  }

  boolean hasAllReports() {
    return pending.isEmpty();
  }
}
