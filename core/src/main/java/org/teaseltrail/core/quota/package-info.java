/** Counts what customers use of their quotas, on entry VMs and on the leader. */
package org.teaseltrail.core.quota;
