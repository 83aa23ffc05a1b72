/** Workloads of the two deployments: who sends what, how often, and until when it is useful. */
package org.teaseltrail.load.workload;
