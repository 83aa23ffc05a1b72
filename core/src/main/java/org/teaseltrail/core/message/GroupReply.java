package org.teaseltrail.core.message;

import java.util.List;
import org.teaseltrail.core.id.VmId;

/** Reply to a process whose member requests to join a group of control members. */
public sealed interface GroupReply {

  /**
   * Lists the VMs of the members, so that the joining process can find the leader among them.
   *
   * @param vms the VMs known to the member that replies
   */
  record KnownMembers(List<VmId> vms) implements GroupReply {
    /** Copies the list. */
    public KnownMembers {
      vms = List.copyOf(vms);
    }
  }
}
