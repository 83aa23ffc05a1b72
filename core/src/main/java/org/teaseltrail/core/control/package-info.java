/**
 * A control member: the replicated state and, while it leads, the sessions of entry VMs, the
 * scheduler of each pool, and the operators' requests.
 *
 * <p>{@link org.teaseltrail.core.control.ControlMember} is the root. It reads no clock and does no
 * input or output.
 */
package org.teaseltrail.core.control;
