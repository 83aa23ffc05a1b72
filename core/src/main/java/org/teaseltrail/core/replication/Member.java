package org.teaseltrail.core.replication;

import org.teaseltrail.core.id.MemberId;
import org.teaseltrail.core.id.VmId;

/**
 * Control member and the VM whose disk stores its state.
 *
 * @param id the member's id; a member that starts with an empty disk is always a new member
 * @param vm the VM; its address is configured in the settings of the processes
 */
public record Member(MemberId id, VmId vm) {}
