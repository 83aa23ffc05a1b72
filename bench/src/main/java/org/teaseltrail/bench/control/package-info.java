/**
 * Benchmarks of the replicated state: claims, snapshots, restarts, and the sizes of control
 * messages.
 */
package org.teaseltrail.bench.control;
