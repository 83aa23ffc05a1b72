/** Metrics by Micrometer, told in Prometheus' text form. */
package org.teaseltrail.runtime.metrics;
