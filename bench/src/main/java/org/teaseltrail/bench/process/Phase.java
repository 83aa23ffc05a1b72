package org.teaseltrail.bench.process;

/**
 * Is a part of a process's life and what it cost.
 *
 * @param name what happened
 * @param units what the cost is divided by: starts, seconds, requests, upstreams, plans
 * @param used what the process used in it
 */
record Phase(String name, int units, ProcessUse used) {

  double perUnitMs() {
    return used.processorMs() / units;
  }
}
