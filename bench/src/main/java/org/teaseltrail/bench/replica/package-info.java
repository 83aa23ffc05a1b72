/**
 * Benchmarks of replication and storage on real files: throughput, latency, snapshots, catch-up.
 */
package org.teaseltrail.bench.replica;
