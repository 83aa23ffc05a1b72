/** Benchmarks of the scheduler: time of a decision and memory usage. */
package org.teaseltrail.bench.schedule;
