package org.teaseltrail.storage;

import org.teaseltrail.core.id.Incarnation;
import org.teaseltrail.core.id.MemberId;
import org.teaseltrail.core.id.VmId;
import org.teaseltrail.core.replication.GroupId;
import org.teaseltrail.core.replication.Member;

/**
 * Says whose state lies in a folder. The member's id holds the incarnation, so that a folder made
 * anew on the same VM is another member.
 *
 * @param group the group
 * @param member the member
 * @param incarnation a number never used before on this VM, such as a random one
 */
public record FolderIdentity(GroupId group, Member member, Incarnation incarnation) {

  /**
   * Returns the identity of a new folder.
   *
   * @param group the group
   * @param vm the VM
   * @param incarnation a number never used before on this VM
   * @return an identity with a new member
   */
  public static FolderIdentity fresh(GroupId group, VmId vm, Incarnation incarnation) {
    MemberId id = new MemberId(vm.value() + "-" + incarnation.value());
    return new FolderIdentity(group, new Member(id, vm), incarnation);
  }
}
