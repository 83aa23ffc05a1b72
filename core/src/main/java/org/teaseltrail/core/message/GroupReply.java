package org.teaseltrail.core.message;

import java.util.List;
import org.teaseltrail.core.id.VmId;

/** Is an answer to a process whose member wants to belong to a group of control members. */
public sealed interface GroupReply {

  /**
   * Tells which VMs hold members, so that the asker finds the leader among them.
   *
   * @param vms the VMs that the answering member knows
   */
  record KnownMembers(List<VmId> vms) implements GroupReply {
    /** Copies the list. */
    public KnownMembers {
      vms = List.copyOf(vms);
    }
  }
}
