/** Metrics collected by Micrometer and exposed in the Prometheus text format. */
package org.teaseltrail.runtime.metrics;
