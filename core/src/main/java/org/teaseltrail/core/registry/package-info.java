/** Self-registration of upstreams with the control members, and their deregistration. */
package org.teaseltrail.core.registry;
