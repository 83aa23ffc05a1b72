/**
 * Complete configuration that an external platform installs: routes, services, customers, limits.
 */
package org.teaseltrail.core.plan;
