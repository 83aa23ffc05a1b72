/**
 * The replicated state machine: members apply the commands of the log in order, with the same
 * result on every member.
 */
package org.teaseltrail.core.state;
