/**
 * Request forwarding of an entry VM: admission, load balancing, queueing and retries of plain HTTP
 * requests. The VM selects upstreams from its own view of their load, within the quota allowances
 * and the retry budget that all VMs share. The package holds all decisions and does no I/O.
 */
package org.teaseltrail.core.forward;
