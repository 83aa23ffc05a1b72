/** The ways of routing that the pool scheduler is weighed against. */
package org.teaseltrail.load.policy.baseline;
