package org.teaseltrail.bench.process;

import java.util.Map;

/**
 * Is what a process used in one phase.
 *
 * @param processorMs processor time in all, in milliseconds
 * @param byKind processor time by kind of thread, in milliseconds
 * @param wakeups times that a thread was put back to work, without threads that have ended
 * @param calls reads and writes of files and sockets
 * @param peakMemoryKb memory at its peak until the end of the phase, in KiB
 */
record ProcessUse(
    double processorMs,
    Map<ThreadKind, Double> byKind,
    long wakeups,
    long calls,
    long peakMemoryKb) {}
