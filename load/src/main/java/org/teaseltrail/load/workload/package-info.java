/**
 * Workloads of the bundled deployments: which customers send which requests, at which rates and
 * with which useful deadlines.
 */
package org.teaseltrail.load.workload;
