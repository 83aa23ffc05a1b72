package org.teaseltrail.storage;

import org.teaseltrail.core.id.Incarnation;
import org.teaseltrail.core.id.MemberId;
import org.teaseltrail.core.id.VmId;
import org.teaseltrail.core.replication.GroupId;
import org.teaseltrail.core.replication.Member;

/**
 * Identifies the group and member whose state a folder holds. The member id includes the
 * incarnation, so that a folder created again on the same VM belongs to a new member.
 *
 * @param group the group
 * @param member the member
 * @param incarnation a number that was never used before on this VM, such as a random one
 */
public record FolderIdentity(GroupId group, Member member, Incarnation incarnation) {

  /**
   * Creates the identity of a new folder.
   *
   * @param group the group
   * @param vm the VM
   * @param incarnation a number that was never used before on this VM
   * @return an identity with a new member
   */
  public static FolderIdentity create(GroupId group, VmId vm, Incarnation incarnation) {
    MemberId id = new MemberId(vm.value() + "-" + incarnation.value());
    return new FolderIdentity(group, new Member(id, vm), incarnation);
  }
}
