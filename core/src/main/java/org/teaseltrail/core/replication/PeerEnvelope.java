package org.teaseltrail.core.replication;

import org.teaseltrail.core.id.MemberId;

/**
 * Message between two members of a group with its addresses. A member drops messages for another
 * group or another receiver: after a disk loss the same VM runs a new member.
 *
 * @param group the group
 * @param from the sender
 * @param to the receiver
 * @param message the content
 */
public record PeerEnvelope(GroupId group, MemberId from, MemberId to, PeerMessage message) {}
