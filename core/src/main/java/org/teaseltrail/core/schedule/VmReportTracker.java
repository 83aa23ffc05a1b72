package org.teaseltrail.core.schedule;

import java.util.HashSet;
import java.util.Set;
import org.teaseltrail.core.id.VmId;

/**
 * Tracks which entry VMs have not yet reported their requests to a new scheduler. Nothing is shed
 * until all have: with incomplete information, a request of a high tier could be shed while one of
 * a lower tier, not yet reported, is kept at another VM. A VM is done once it reports completion or
 * its session has expired.
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
