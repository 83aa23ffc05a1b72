/**
 * The control member: the replicated state and, on the leader, the sessions of entry VMs, the
 * scheduler of each pool, and the operators' requests.
 *
 * <p>{@link org.teaseltrail.core.control.ControlMember} is the entry point. It reads no clock and
 * performs no input or output.
 */
package org.teaseltrail.core.control;
