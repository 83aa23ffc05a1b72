package org.teaseltrail.bench.process;

import java.util.Map;

/**
 * Resource usage of a process in one phase.
 *
 * @param processorMs total processor time, in milliseconds
 * @param byKind processor time by kind of thread, in milliseconds
 * @param wakeups number of voluntary context switches, without threads that have ended
 * @param calls number of read and write system calls on files and sockets
 * @param peakMemoryKb peak resident memory until the end of the phase, in KiB
 */
record ProcessUsage(
    double processorMs,
    Map<ThreadKind, Double> byKind,
    long wakeups,
    long calls,
    long peakMemoryKb) {}
