package org.teaseltrail.bench.process;

/**
 * Phase of a process's run with its resource usage.
 *
 * @param name name of the phase in the report
 * @param units divisor of the usage: number of starts, seconds, requests, upstreams or plans
 * @param used resource usage of the process in the phase
 */
record Phase(String name, int units, ProcessUsage used) {

  double perUnitMs() {
    return used.processorMs() / units;
  }
}
