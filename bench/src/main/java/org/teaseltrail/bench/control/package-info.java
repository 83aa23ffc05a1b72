/** Measures the shared state: claims, snapshots, restarts and the bytes of control. */
package org.teaseltrail.bench.control;
