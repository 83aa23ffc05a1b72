package org.teaseltrail.control;

import java.util.List;
import org.teaseltrail.core.id.VmId;

/**
 * Options of a group that bootstraps itself. The VMs of such a group are named after the address of
 * their member, {@code ip:port}.
 *
 * @param seeds VMs to contact in order to join the group; at the first start of the system exactly
 *     these are the group's initial members
 * @param firstStart whether the whole system starts for the first time; only then may a member with
 *     an empty disk create the group
 */
public record GroupBootstrapOptions(List<VmId> seeds, boolean firstStart) {
  /** Makes a defensive copy of the list. */
  public GroupBootstrapOptions {
    seeds = List.copyOf(seeds);
  }
}
