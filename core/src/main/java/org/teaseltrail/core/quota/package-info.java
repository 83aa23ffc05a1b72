/** Counts the use of customers' quotas, on entry VMs and on the leader. */
package org.teaseltrail.core.quota;
