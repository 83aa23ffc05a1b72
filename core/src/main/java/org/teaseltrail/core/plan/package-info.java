/** The whole configuration that an outside platform sends: routes, services, customers, limits. */
package org.teaseltrail.core.plan;
