/** Baseline routing policies that the pool scheduler is compared with. */
package org.teaseltrail.load.policy.baseline;
