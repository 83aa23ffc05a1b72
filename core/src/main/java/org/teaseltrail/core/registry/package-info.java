/** Upstreams that register themselves with the control members and take leave of them. */
package org.teaseltrail.core.registry;
