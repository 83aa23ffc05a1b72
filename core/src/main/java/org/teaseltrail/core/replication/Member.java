package org.teaseltrail.core.replication;

import org.teaseltrail.core.id.MemberId;
import org.teaseltrail.core.id.VmId;

/**
 * Is a control member and the VM whose disk holds its state.
 *
 * @param id the member; an empty disk is always a new member
 * @param vm the VM, whose address the processes' settings tell
 */
public record Member(MemberId id, VmId vm) {}
