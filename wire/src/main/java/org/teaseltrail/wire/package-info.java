/**
 * Transport of typed messages between the processes of the system: MessagePack in length-prefixed
 * frames (four bytes) over TCP.
 */
package org.teaseltrail.wire;
