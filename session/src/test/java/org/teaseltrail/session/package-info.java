/**
 * Tests the real state machines of all roles together under virtual time. Network, disks, clocks
 * and callers are simulated.
 */
package org.teaseltrail.session;
