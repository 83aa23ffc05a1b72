/**
 * Messages between entry VMs and the leading control member that let a VM select upstreams locally:
 * the plan, the registrations, the load of the other VMs, and quota allowances.
 */
package org.teaseltrail.core.serving;
