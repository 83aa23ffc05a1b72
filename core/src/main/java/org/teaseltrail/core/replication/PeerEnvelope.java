package org.teaseltrail.core.replication;

import org.teaseltrail.core.id.MemberId;

/**
 * Carries a message between two members of one group. A member drops what names another group or
 * another receiver: after a lost disk the VM is the same, yet the member is not.
 *
 * @param group the group
 * @param from the sender
 * @param to the receiver
 * @param message the content
 */
public record PeerEnvelope(GroupId group, MemberId from, MemberId to, PeerMessage message) {}
