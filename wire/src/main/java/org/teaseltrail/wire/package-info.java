/**
 * Carries typed messages between the system's own processes: MessagePack in frames with a four-byte
 * length, over TCP.
 */
package org.teaseltrail.wire;
