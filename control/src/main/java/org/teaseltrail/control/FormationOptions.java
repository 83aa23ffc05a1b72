package org.teaseltrail.control;

import java.util.List;
import org.teaseltrail.core.id.VmId;

/**
 * Says how a group forms by itself. The VMs of such a group are named by the address of their
 * member, {@code ip:port}.
 *
 * @param seeds VMs to ask for the group; at the first start exactly these found it
 * @param firstStart whether the whole system starts for the first time; an empty disk founds a
 *     group only then
 */
public record FormationOptions(List<VmId> seeds, boolean firstStart) {
  /** Copies the list. */
  public FormationOptions {
    seeds = List.copyOf(seeds);
  }
}
