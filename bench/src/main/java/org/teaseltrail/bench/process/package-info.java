/**
 * Measures the resource usage of an entry VM's process from its cold start, by phase and thread.
 */
package org.teaseltrail.bench.process;
