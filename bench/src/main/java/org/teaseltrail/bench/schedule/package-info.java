/** Measures of the scheduler: time for a decision and memory for what it keeps. */
package org.teaseltrail.bench.schedule;
