/**
 * The control member's daemon: network connections, disk and timers around the member's decision
 * logic.
 */
package org.teaseltrail.control;
